/**
 * Preconditions of every start: no undetected pause of the process, a fresh configuration, no drain or stop.
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
    /** Clock and events of the process. */
    readonly runtime: Runtime;
    /** Identifier of the agent's backend server. */
    readonly server: BackendServerId;
    /** Store of the configuration in force. */
    readonly configuration: ConfigurationStore;
    /** Decides whether the configuration is fresh enough; by default from the store's confirmations. */
    readonly freshness?: ConfigurationFreshness | undefined;
    /** Requests a confirmation of the configuration. */
    readonly requestConfirmation?: (() => void) | undefined;
    /** Called when a pause is detected, before any further work starts. */
    readonly onPause: () => void;
}

/** Retry delay given to callers while the configuration is not fresh, in milliseconds. */
const NOT_READY_RETRY_MS = 500;

/** Decides whether any work may start now. */
export class StartGate implements Disposable {
    private readonly options: StartGateOptions;
    private readonly freshness: ConfigurationFreshness;
    private readonly pauses: PauseDetector;
    private isStopping = false;

    /** @param options - runtime, identity and configuration */
    public constructor(options: StartGateOptions) {
        const { runtime, configuration, requestConfirmation } = options;
        this.options = options;
        this.freshness = options.freshness
            ?? createStoreFreshness({ clock: runtime.clock, configuration, requestConfirmation });
        this.pauses = new PauseDetector({
            clock: runtime.clock,
            onPause: gapMs => this.handlePause(gapMs),
        });
    }

    /**
     * Whether new work is refused because the agent is stopping, or because the rules drain the backend
     * server or take its data centre out.
     */
    public get isDraining(): boolean {
        const { configuration, server } = this.options;
        const rules = configuration.current?.rules;
        const rule = rules?.servers.get(server);
        return this.isStopping
            || (rules !== undefined && rule !== undefined
                && (rules.drainingServers.has(server) || rules.outDataCentres.has(rule.dataCentre)));
    }

    /** Whether the configuration is fresh enough to act on. */
    public get isFresh(): boolean {
        return this.freshness.isFresh;
    }

    /** Refuses all work from now on; this cannot be undone. */
    public beginStop(): void {
        this.isStopping = true;
    }

    /**
     * Checks that work may start now.
     *
     * @throws RefusedError with the reason if it may not
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

    /** Stops the pause detection. */
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

    private handlePause(gapMs: number): void {
        if (isFaultSeeded("agent.skip-pause-check")) {
            return;
        }
        this.options.runtime.events.emit(agentPaused, { gapMs: Math.round(gapMs) });
        this.freshness.expire();
        this.options.onPause();
    }
}
