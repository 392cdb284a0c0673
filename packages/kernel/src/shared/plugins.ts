/**
 * Plug-in registries. Each kind of plug-in (rule kind, routing policy, event sink) has one registry.
 *
 * @packageDocumentation
 */

import { PluginError } from "./errors.ts";

/** Properties of every plug-in. */
export interface Plugin {
    /** Name, unique in its registry. */
    readonly name: string;
}

/** Holds the plug-ins of one kind; plug-ins register themselves when their module loads. */
export class PluginRegistry<T extends Plugin> {
    private readonly plugins = new Map<string, T>();

    /** @param kind - kind of plug-in, for error messages */
    public constructor(private readonly kind: string) {}

    /**
     * Adds a plug-in.
     *
     * @param plugin - the plug-in
     * @returns the same plug-in
     * @throws PluginError when the name is already registered
     */
    public register(plugin: T): T {
        if (this.plugins.has(plugin.name)) {
            throw new PluginError(`${this.kind} "${plugin.name}" is registered twice`);
        }
        this.plugins.set(plugin.name, plugin);
        return plugin;
    }

    /**
     * Finds a plug-in by name.
     *
     * @param name - its name
     * @returns the plug-in, or undefined if the name is unknown
     */
    public find(name: string): T | undefined {
        return this.plugins.get(name);
    }

    /**
     * Returns a plug-in that must exist.
     *
     * @param name - its name
     * @returns the plug-in
     * @throws PluginError that lists the known names, if the name is unknown
     */
    public get(name: string): T {
        const plugin = this.plugins.get(name);
        if (plugin === undefined) {
            throw new PluginError(`unknown ${this.kind} "${name}": use one of ${this.names().join(", ")}`);
        }
        return plugin;
    }

    /** Names in the order of registration. */
    public names(): string[] {
        return [...this.plugins.keys()];
    }

    /** Plug-ins in the order of registration. */
    public all(): T[] {
        return [...this.plugins.values()];
    }
}
