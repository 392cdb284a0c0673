/**
 * Numbered events. Every process logs through one {@link EventLog}; the numbers form the catalogue in the docs.
 *
 * @packageDocumentation
 */

import Denque from "denque";
import type { Clock } from "./clock.ts";
import { PluginError } from "./errors.ts";
import { HybridClock, type HybridTime } from "./hybridClock.ts";
import { type Plugin, PluginRegistry } from "./plugins.ts";

/** How much an event matters. */
export type EventLevel = "debug" | "info" | "warning" | "error";

/** Values that an event may carry. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Definition of one kind of event. */
export interface EventDefinition {
    /** Number, unique over all packages. */
    readonly number: number;
    /** Dotted name, `part.subject.verb`. */
    readonly name: string;
    /** How much it matters. */
    readonly level: EventLevel;
    /** One sentence for the catalogue. */
    readonly summary: string;
}

/** One event that happened. */
export interface EventRecord {
    /** Which kind. */
    readonly definition: EventDefinition;
    /** When, in the order of causes over all processes. */
    readonly time: HybridTime;
    /** Process that logged it. */
    readonly instance: string;
    /** Details. */
    readonly fields: EventFields;
}

/** Receives every event of a process. */
export interface EventSink extends Plugin {
    /**
     * Takes one event.
     *
     * @param record - the event
     */
    write(record: EventRecord): void;
}

const catalogue = new Map<number, EventDefinition>();

/**
 * Defines a kind of event and adds it to the catalogue.
 *
 * @param definition - number, name, level and summary
 * @returns the definition
 * @throws PluginError when the number is taken
 */
export const defineEvent = (definition: EventDefinition): EventDefinition => {
    if (catalogue.has(definition.number)) {
        throw new PluginError(`event number ${definition.number} is defined twice`);
    }
    catalogue.set(definition.number, definition);
    return definition;
};

/**
 * Lists the catalogue.
 *
 * @returns all definitions by number
 */
export const eventCatalogue = (): EventDefinition[] =>
    [...catalogue.values()].sort((left, right) => left.number - right.number);

/** Event sinks that processes can be told to use. */
export const eventSinks = new PluginRegistry<EventSink>("event sink");

/** Options of an {@link EventLog}. */
export interface EventLogOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Name of the process. */
    readonly instance: string;
    /** Where events go besides the memory. */
    readonly sinks?: readonly EventSink[];
    /** How many events the memory keeps. */
    readonly capacity?: number;
}

const DEFAULT_EVENT_CAPACITY = 4_000;

/** Event log of one process: a bounded memory that the time line reads, and sinks. */
export class EventLog {
    /** Clock that orders events over processes. */
    public readonly hybridClock: HybridClock;
    private readonly records = new Denque<EventRecord>();
    private readonly listeners = new Set<(record: EventRecord) => void>();
    private readonly instance: string;
    private readonly sinks: readonly EventSink[];
    private readonly capacity: number;

    /** @param options - clock, name, sinks and capacity */
    public constructor(options: EventLogOptions) {
        this.hybridClock = new HybridClock(options.clock);
        this.instance = options.instance;
        this.sinks = options.sinks ?? [];
        this.capacity = options.capacity ?? DEFAULT_EVENT_CAPACITY;
    }

    /**
     * Logs an event.
     *
     * @param definition - kind of event
     * @param fields - details; units go into the field names
     */
    public emit(definition: EventDefinition, fields: EventFields = {}): void {
        const record: EventRecord = {
            definition,
            time: this.hybridClock.tick(),
            instance: this.instance,
            fields,
        };
        this.records.push(record);
        if (this.records.length > this.capacity) {
            this.records.shift();
        }
        for (const sink of this.sinks) {
            sink.write(record);
        }
        for (const listener of this.listeners) {
            listener(record);
        }
    }

    /**
     * Calls back for each new event.
     *
     * @param listener - what to call
     * @returns disposing it ends the calls
     */
    public follow(listener: (record: EventRecord) => void): Disposable {
        this.listeners.add(listener);
        return { [Symbol.dispose]: () => void this.listeners.delete(listener) };
    }

    /** Events that the memory still holds, oldest first. */
    public recent(): EventRecord[] {
        return this.records.toArray();
    }
}
