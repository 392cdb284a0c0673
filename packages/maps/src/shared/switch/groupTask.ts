/**
 * Task of an agent whose backend server is a rank of a group: keeps the rank's engine on the group's map.
 *
 * @packageDocumentation
 */

import {
    type Address,
    errorMessage,
    hash32,
    isAborted,
    isFaultSeeded,
    type ResourceScope,
    type Runtime,
    type ServiceBinding,
    sleep,
} from "@magnolialock/kernel";
import type { EncodedMap } from "../../types/mapActivation.ts";
import type { RankEngine } from "../../types/rankEngine.ts";
import { mapProposed, roundFailed } from "../mapsEvents.ts";
import { MapMember } from "./mapMember.ts";
import { type MapRoundResult, nextEpoch, runMapRound } from "./mapRound.ts";
import { createMapService } from "./mapService.ts";
import { MapLibrary } from "./memberCodec.ts";
import type { MemberCalls } from "./memberReply.ts";
import { createRemoteMember } from "./remoteMember.ts";

/** Options of {@link createGroupTask}. */
export interface GroupTaskOptions {
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Rank of this member. */
    readonly rank: number;
    /** Addresses of the agents of all members, in the order of ranks. */
    readonly addresses: readonly Address[];
    /** Incarnation of the agent; a restart begins a new one. */
    readonly incarnation: string;
    /** Engine of the rank. */
    readonly engine: RankEngine;
    /** Map that the group starts with. */
    readonly initialMap: EncodedMap;
    /** Time between polls of the engine, in milliseconds. */
    readonly pollMs?: number;
    /** Timeout of one call, in milliseconds. */
    readonly callTimeoutMs?: number;
    /** Steps between a proposal and the first step on the new map. */
    readonly leadSteps?: number;
}

const DEFAULT_POLL_MS = 50;
const DEFAULT_CALL_TIMEOUT_MS = 500;
const DEFAULT_LEAD_STEPS = 4;
const MAX_BACKOFF_MS = 400;
const START_STAGGER_MS = 10;
/** Polls for which an armed rank waits for the coordinator's decision before it asks the other members. */
const POLLS_BEFORE_RESOLVING = 3;

/** Member of a group, with its service, its clients of the other members and its polling task. */
export class GroupTask implements AsyncDisposable {
    /** The member. */
    public readonly member: MapMember;
    /** Service for the calls of the other members; the caller listens with it. */
    public readonly service: ServiceBinding;
    private readonly options: GroupTaskOptions;
    private readonly peers: readonly MemberCalls[];
    private readonly library = new MapLibrary();
    private readonly stopping = new AbortController();
    private highestEpochSeen = 0;
    private consecutiveFailures = 0;
    private pollsWhileArmed = 0;
    private isInRound = false;
    private running: Promise<void> | undefined;

    /** @param options - runtime, rank, members and engine */
    public constructor(options: GroupTaskOptions) {
        const { runtime, addresses, rank } = options;
        const roster = hash32(addresses.join(" ")).toString(16);
        const callTimeoutMs = options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS;
        this.options = options;
        this.library.add(options.initialMap);
        this.member = new MapMember({ ...options, events: runtime.events });
        this.service = createMapService({ member: this.member, roster, library: this.library });
        this.peers = addresses.flatMap((address, peer) =>
            peer === rank
                ? []
                : [createRemoteMember({
                    runtime,
                    rank: peer,
                    address,
                    roster,
                    library: this.library,
                    callTimeoutMs,
                })]
        );
    }

    /** Highest epoch that any member is known to have promised. */
    public get highestEpoch(): number {
        return this.highestEpochSeen;
    }

    /**
     * Starts the task that keeps the engine on the group's map.
     *
     * @param scope - scope whose disposal stops the task
     */
    public start(scope?: ResourceScope): void {
        this.running = this.run();
        scope?.use(this);
    }

    /**
     * Proposes a map to the group. Any member may propose at any time.
     *
     * @param map - the map
     * @param reason - reason for the change, for the timeline
     * @returns result of the round
     */
    public async propose(map: EncodedMap, reason: string): Promise<MapRoundResult> {
        this.options.runtime.events.emit(mapProposed, { rank: this.options.rank, map: map.id, reason });
        this.library.add(map);
        return this.runRound(map);
    }

    /**
     * Finds out the outcome of an undecided change: asks the other members and, when none knows it, runs a
     * round that settles it with all of them.
     */
    public async resolveArmedChange(): Promise<void> {
        if (isFaultSeeded("maps.start-without-asking")) {
            await this.member.discardArmed();
            return;
        }
        if (!await this.adoptPeersDecision()) {
            await this.runRound();
        }
    }

    /**
     * Settles undecided changes with all members, so that a restarted engine gets the group's map.
     *
     * @returns result of the round
     */
    public settle(): Promise<MapRoundResult> {
        return this.runRound();
    }

    /**
     * Asks all other members whether the armed change is decided, and adopts the decision if one of them
     * knows it.
     */
    public async adoptPeersDecision(): Promise<boolean> {
        const answers = await Promise.allSettled(this.peers.map(async peer => {
            const reply = await peer.report();
            this.highestEpochSeen = Math.max(this.highestEpochSeen, reply.promisedEpoch);
            return this.member.adopt(reply.decided);
        }));
        return answers.some(answer => answer.status === "fulfilled" && answer.value);
    }

    /** Stops the task. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.stopping.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        const { runtime, pollMs = DEFAULT_POLL_MS } = this.options;
        try {
            // Ranks start at staggered times, so that the first one settles the group for all.
            await sleep(runtime.clock, this.options.rank * START_STAGGER_MS, this.stopping.signal);
            while (!this.stopping.signal.aborted) {
                await this.pollAndRecordFailure();
                const backoffMs = Math.min(MAX_BACKOFF_MS, pollMs * 2 ** this.consecutiveFailures);
                const jitter = this.consecutiveFailures === 0 ? 1 : runtime.random.nextFloat();
                await sleep(runtime.clock, pollMs + jitter * backoffMs, this.stopping.signal);
            }
        }
        catch (error) {
            if (!isAborted(error)) {
                throw error;
            }
        }
    }

    private async pollAndRecordFailure(): Promise<void> {
        try {
            await this.poll();
        }
        catch (error) {
            this.recordResult({
                kind: "failed",
                reason: errorMessage(error),
                highestEpoch: this.highestEpochSeen,
            });
        }
    }

    private async poll(): Promise<void> {
        if (this.isInRound) {
            return;
        }
        const report = await this.member.report();
        this.highestEpochSeen = Math.max(this.highestEpochSeen, report.promisedEpoch);
        this.pollsWhileArmed = report.armed ? this.pollsWhileArmed + 1 : 0;
        const isSettled = report.isSettled && this.member.cachedState.settledEpoch > 0;
        if (!isSettled) {
            await this.runRound();
        }
        else if (this.pollsWhileArmed > POLLS_BEFORE_RESOLVING) {
            await this.resolveArmedChange();
        }
    }

    /** Runs one round; fails at once if this member is already running a round. */
    private async runRound(proposal?: EncodedMap): Promise<MapRoundResult> {
        if (this.isInRound) {
            return {
                kind: "failed",
                reason: "another round is running",
                highestEpoch: this.highestEpochSeen,
            };
        }
        this.isInRound = true;
        try {
            const result = await this.runOneRound(proposal);
            this.recordResult(result);
            return result;
        }
        finally {
            this.isInRound = false;
        }
    }

    private async runOneRound(proposal?: EncodedMap): Promise<MapRoundResult> {
        const { rank, addresses, initialMap, leadSteps = DEFAULT_LEAD_STEPS } = this.options;
        const { promisedEpoch } = await this.member.report();
        const epoch = nextEpoch(Math.max(this.highestEpochSeen, promisedEpoch), rank, addresses.length);
        const { member, peers } = this;
        return runMapRound({ member, peers, epoch, initialMap, leadSteps, ...(proposal && { proposal }) });
    }

    private recordResult(result: MapRoundResult): void {
        switch (result.kind) {
            case "failed":
                this.consecutiveFailures++;
                this.highestEpochSeen = Math.max(this.highestEpochSeen, result.highestEpoch);
                this.options.runtime.events.emit(roundFailed, {
                    rank: this.options.rank,
                    reason: result.reason,
                });
                return;
            case "settled":
            case "committed":
                this.consecutiveFailures = 0;
                this.pollsWhileArmed = 0;
                return;
        }
    }
}

/**
 * Creates the task; it is idle until it is started.
 *
 * @param options - runtime, rank, members and engine
 * @returns the task
 */
export const createGroupTask = (options: GroupTaskOptions): GroupTask => new GroupTask(options);
