/**
 * Checks that hold before every start: a pause of the process, the configuration, drains and stops.
 *
 * @packageDocumentation
 */

import type { ConfigurationStore } from "@magnolialock/control";
import { type BackendServerId, isFaultSeeded, PauseDetector, type Runtime } from "@magnolialock/kernel";
import { RefusalReason } from "@magnolialock/protocol";
import { agentPaused } from "./agentEvents.ts";
import { type ConfigurationFreshness, createStoreFreshness } from "./configurationFreshness.ts";
import { RefusedError } from "./refusedError.ts";

/** Options of a {@link StartGate}. */
export interface StartGateOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Backend server that the agent stands beside. */
    readonly server: BackendServerId;
    /** Configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Tells whether the configuration may be acted on; by default follows the store's confirmations. */
    readonly freshness?: ConfigurationFreshness | undefined;
    /** Asks for a confirmation of the configuration. */
    readonly requestConfirmation?: (() => void) | undefined;
    /** Called after a pause, before anything else runs. */
    readonly onPause: () => void;
}

/** When to ask again while the configuration is not fresh, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Decides whether work may start at all. */
export class StartGate implements Disposable {
    private readonly options: StartGateOptions;
    private readonly freshness: ConfigurationFreshness;
    private readonly pauses: PauseDetector;
    private isStopping = false;

    /** @param options - surroundings, identity and configuration */
    public constructor(options: StartGateOptions) {
        const { runtime, configuration, requestConfirmation } = options;
        this.options = options;
        this.freshness = options.freshness
            ?? createStoreFreshness({ clock: runtime.clock, configuration, requestConfirmation });
        this.pauses = new PauseDetector({
            clock: runtime.clock,
            onPause: gapMs => this.notePause(gapMs),
        });
    }

    /** Whether new work is refused until further notice: by a stop or by the operators. */
    public get isDraining(): boolean {
        const { configuration, server } = this.options;
        const rules = configuration.current?.rules;
        const rule = rules?.servers.get(server);
        return this.isStopping
            || (rules !== undefined && rule !== undefined
                && (rules.drainingServers.has(server) || rules.outDataCentres.has(rule.dataCentre)));
    }

    /** Whether the configuration may be acted on. */
    public get isFresh(): boolean {
        return this.freshness.isFresh;
    }

    /** Refuses everything from now on, for good. */
    public beginStop(): void {
        this.isStopping = true;
    }

    /**
     * Checks that work may start now.
     *
     * @throws RefusedError that says why not
     */
    public check(): void {
        if (!isFaultSeeded("agent.skip-pause-check")) {
            this.checkPause();
        }
        if (this.isDraining && !isFaultSeeded("agent.skip-drain-check")) {
            throw new RefusedError("the backend server is draining", {
                props: { reason: RefusalReason.DRAINING },
            });
        }
    }

    /** Ends the detection of pauses. */
    public [Symbol.dispose](): void {
        this.pauses[Symbol.dispose]();
    }

    private checkPause(): void {
        this.pauses.check();
        if (!this.freshness.isFresh) {
            throw new RefusedError("the agent was paused and waits for a fresh configuration", {
                props: { reason: RefusalReason.NOT_READY, retryAfterMs: NOT_READY_RETRY_MS },
            });
        }
    }

    private notePause(gapMs: number): void {
        if (isFaultSeeded("agent.skip-pause-check")) {
            return;
        }
        this.options.runtime.events.emit(agentPaused, { gapMs: Math.round(gapMs) });
        this.freshness.expire();
        this.options.onPause();
    }
}
