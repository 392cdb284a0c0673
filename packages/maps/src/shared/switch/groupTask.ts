/**
 * Task of an agent whose backend server is a rank of a group: keeps its engine on the group's map.
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
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Rank of this member. */
    readonly rank: number;
    /** Addresses of the agents of all members, in the order of ranks. */
    readonly addresses: readonly Address[];
    /** Life of the agent. */
    readonly incarnation: string;
    /** Engine of the rank. */
    readonly engine: RankEngine;
    /** Map that the group starts with. */
    readonly initialMap: EncodedMap;
    /** Time between looks at the engine, in milliseconds. */
    readonly pollMs?: number;
    /** Longest time of one call, in milliseconds. */
    readonly callTimeoutMs?: number;
    /** Steps between a proposal and the first step on the new map. */
    readonly leadSteps?: number;
}

const DEFAULT_POLL_MS = 50;
const DEFAULT_CALL_TIMEOUT_MS = 500;
const DEFAULT_LEAD_STEPS = 4;
const MAX_BACKOFF_MS = 400;
const START_GAP_MS = 10;
/** Polls for which an armed rank waits for the coordinator before it asks the others. */
const PATIENT_POLLS = 3;

/** Member of a group with its tasks. */
export class GroupTask implements AsyncDisposable {
    /** The member. */
    public readonly member: MapMember;
    /** Service for the other members; listen with it. */
    public readonly service: ServiceBinding;
    private readonly options: GroupTaskOptions;
    private readonly peers: readonly MemberCalls[];
    private readonly library = new MapLibrary();
    private readonly abort = new AbortController();
    private highestEpochSeen = 0;
    private failures = 0;
    private openPolls = 0;
    private isInRound = false;
    private running: Promise<void> | undefined;

    /** @param options - surroundings, rank, members and engine */
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

    /** Highest epoch that any member is known to have promised to. */
    public get highestEpoch(): number {
        return this.highestEpochSeen;
    }

    /**
     * Starts the task that keeps the engine on the group's map.
     *
     * @param scope - owner that stops it
     */
    public start(scope?: ResourceScope): void {
        this.running = this.run();
        scope?.use(this);
    }

    /**
     * Proposes a map to the group. Any member may propose at any time.
     *
     * @param map - the map
     * @param reason - why, for the time line
     * @returns how the round ended
     */
    public async propose(map: EncodedMap, reason: string): Promise<MapRoundResult> {
        this.options.runtime.events.emit(mapProposed, { rank: this.options.rank, map: map.id, reason });
        this.library.add(map);
        return this.runRound(map);
    }

    /**
     * Asks the others for the outcome of an open change; settles it with all of them when none knows.
     */
    public async resolve(): Promise<void> {
        if (isFaultSeeded("maps.start-without-asking")) {
            await this.member.forgetArmed();
            return;
        }
        if (!await this.askPeers()) {
            await this.runRound();
        }
    }

    /**
     * Settles what is open with all members, so that a restarted engine gets the group's map.
     *
     * @returns how the round ended
     */
    public settle(): Promise<MapRoundResult> {
        return this.runRound();
    }

    /** Asks all others whether the open change is decided. */
    public async askPeers(): Promise<boolean> {
        const answers = await Promise.allSettled(this.peers.map(async peer => {
            const reply = await peer.report();
            this.highestEpochSeen = Math.max(this.highestEpochSeen, reply.promisedEpoch);
            return this.member.adopt(reply.decided);
        }));
        return answers.some(answer => answer.status === "fulfilled" && answer.value);
    }

    /** Stops the task. */
    public async [Symbol.asyncDispose](): Promise<void> {
        this.abort.abort();
        await this.running;
    }

    private async run(): Promise<void> {
        const { runtime, pollMs = DEFAULT_POLL_MS } = this.options;
        try {
            // Ranks start one after the other, so that the first one settles the group for all.
            await sleep(runtime.clock, this.options.rank * START_GAP_MS, this.abort.signal);
            while (!this.abort.signal.aborted) {
                await this.pollSafely();
                const backoffMs = Math.min(MAX_BACKOFF_MS, pollMs * 2 ** this.failures);
                const jitter = this.failures === 0 ? 1 : runtime.random.nextFloat();
                await sleep(runtime.clock, pollMs + jitter * backoffMs, this.abort.signal);
            }
        }
        catch (error) {
            if (!isAborted(error)) {
                throw error;
            }
        }
    }

    private async pollSafely(): Promise<void> {
        try {
            await this.poll();
        }
        catch (error) {
            this.noteResult({
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
        this.openPolls = report.armed ? this.openPolls + 1 : 0;
        const isSettled = report.isSettled && this.member.memory.settledEpoch > 0;
        if (!isSettled) {
            await this.runRound();
        }
        else if (this.openPolls > PATIENT_POLLS) {
            await this.resolve();
        }
    }

    /** Runs one round; rounds of one member do not overlap. */
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
            this.noteResult(result);
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

    private noteResult(result: MapRoundResult): void {
        switch (result.kind) {
            case "failed":
                this.failures++;
                this.highestEpochSeen = Math.max(this.highestEpochSeen, result.highestEpoch);
                this.options.runtime.events.emit(roundFailed, {
                    rank: this.options.rank,
                    reason: result.reason,
                });
                return;
            case "settled":
            case "committed":
                this.failures = 0;
                this.openPolls = 0;
                return;
        }
    }
}

/**
 * Creates the task; it does nothing before it is started.
 *
 * @param options - surroundings, rank, members and engine
 * @returns the task
 */
export const createGroupTask = (options: GroupTaskOptions): GroupTask => new GroupTask(options);
