/**
 * The entry's view of one agent. One task for each peer watches the agent's state.
 *
 * @packageDocumentation
 */

import { type Client, createClient } from "@connectrpc/connect";
import { errorMessage, type Runtime, sleep } from "@magnolialock/kernel";
import { AgentService, type AgentState } from "@magnolialock/protocol";
import type { ServerRule } from "@magnolialock/rules";
import { AgentSession } from "./agentSession.ts";
import { agentFound, agentLost } from "./entryEvents.ts";

/** Options of an {@link AgentPeer}. */
export interface AgentPeerOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Name of the entry. */
    readonly entry: string;
    /** Rule of the backend server. */
    readonly rule: ServerRule;
}

const REPORT_PERIOD_MS = 500;
const RECONNECT_DELAY_MS = 300;
/** A state older than this is no evidence, in milliseconds. */
const STATE_LIFETIME_MS = 2_000;

/** One agent as the entry knows it: lagging state and own calls. */
export class AgentPeer implements Disposable {
    /** Rule of the backend server; replaced when the configuration changes. */
    public rule: ServerRule;
    /** Calls to the agent. */
    public readonly client: Client<typeof AgentService>;
    /** Calls of this entry that run there. */
    public ownRunning = 0;
    /** Runs attempts at the agent. */
    public readonly session: AgentSession;
    private readonly runtime: Runtime;
    private readonly entry: string;
    private readonly stopping = new AbortController();
    private newest: AgentState | undefined;
    private heardMs = Number.NEGATIVE_INFINITY;

    /** @param options - surroundings and rule */
    public constructor(options: AgentPeerOptions) {
        this.runtime = options.runtime;
        this.entry = options.entry;
        this.rule = options.rule;
        this.client = createClient(AgentService, options.runtime.network.transportTo(options.rule.agent));
        this.session = new AgentSession(this.client);
    }

    /** Newest state while it is fresh. */
    public get state(): AgentState | undefined {
        return this.runtime.clock.nowMs() - this.heardMs <= STATE_LIFETIME_MS ? this.newest : undefined;
    }

    /** Watches the agent's state until the peer is disposed. */
    public async watch(): Promise<void> {
        const { signal } = this.stopping;
        while (!signal.aborted) {
            try {
                const request = { entry: this.entry, periodMs: REPORT_PERIOD_MS };
                for await (const state of this.client.watchState(request, { signal })) {
                    this.observe(state);
                }
            }
            catch (error) {
                if (signal.aborted) {
                    return;
                }
                this.runtime.events.emit(agentLost, { server: this.rule.name, error: errorMessage(error) });
            }
            this.newest = undefined;
            const delayMs = RECONNECT_DELAY_MS * (0.5 + this.runtime.random.nextFloat());
            await sleep(this.runtime.clock, delayMs, signal).catch(() => {});
        }
    }

    /** Ends the watch. */
    public [Symbol.dispose](): void {
        this.stopping.abort();
        this.session[Symbol.dispose]();
    }

    private observe(state: AgentState): void {
        if (this.newest?.incarnation !== state.incarnation) {
            this.runtime.events.emit(agentFound, { server: state.server, incarnation: state.incarnation });
        }
        this.newest = state;
        this.heardMs = this.runtime.clock.nowMs();
    }
}
