/**
 * Tells whether an answer is complete that ended only with its connection. The operating system also closes the connections
 * of a process that is killed, so the end of a connection says nothing by itself; what becomes of the server does.
 *
 * @packageDocumentation
 */

import type { Runtime, Timer } from "@magnolialock/kernel";
import type { ConnectionEnds, ProbeResult, UpstreamClient } from "../../types/call.ts";
import type { CallHeaderNames } from "../../types/callHeaders.ts";
import type { CallMetrics } from "../callMetrics.ts";
import type { PublishedStateStore } from "../publishedStateStore.ts";
import type { ServerDirectory } from "../serverDirectory.ts";
import type { TrackedServer } from "../trackedServer.ts";
import { answerEndConfirmed, answerEndJudged, serverStoppedListening } from "./answerEndEvents.ts";

/** What decides whether an answer is complete. */
export type EndEvidence =
    /** The server accepts connections, and nothing shows that another process does so at its address. */
    | "accepts"
    /** The address accepts connections, but all those of the server have ended at once, and another server answers there. */
    | "replaced"
    /** The server neither accepts nor refuses connections; its operating system refuses those to a process that has ended. */
    | "silent"
    /** Other connections to the server stay open: its process has not ended. */
    | "othersOpen"
    /**
     * The server had stopped listening before and went on answering. It ends its answers one by one, or several of them in the same
     * moment, each right after its last data.
     */
    | "stoppedBefore"
    /**
     * All connections of the server have ended at once. It had stopped listening before, and some ended apart from their last data;
     * or nothing answers at its address although connections are accepted there.
     */
    | "endedTogether"
    /** The server accepts no connections, and nothing shows that its process ended the answer itself. */
    | "refuses";

/** What was observed after the end of an answer. */
export interface EndObservation {
    /** Whether the server accepts connections. */
    readonly probe: ProbeResult;
    /** What became of the connections to the server. */
    readonly ends: ConnectionEnds;
    /** Whether the server was seen to go on with answers after it had stopped listening. */
    readonly hadStoppedListening: boolean;
    /** What answers at its address; undefined if it was not asked. */
    readonly identity?: "same" | "other" | "unnamed" | "silent" | undefined;
}

/** Tells whether all connections on which a server answered have ended at once, as they do if its process is killed. */
const hasEndedAtOnce = ({ endedTogether, stillAnswering }: ConnectionEnds): boolean =>
    endedTogether > 1 && stillAnswering === 0;

const acceptedEvidence = (identity: EndObservation["identity"]): EndEvidence => {
    switch (identity) {
        case "other":
            return "replaced";
        case "silent":
            return "endedTogether";
        case "same":
        case "unnamed":
        case undefined:
            return "accepts";
    }
};

/**
 * Decides by which evidence an answer is judged that ended with its connection.
 *
 * @param observation - what was observed after its end
 */
export const endEvidence = (observation: EndObservation): EndEvidence => {
    const { ends, hadStoppedListening, identity, probe } = observation;
    if (probe !== "refused") {
        return probe === "accepted" ? acceptedEvidence(identity) : "silent";
    }
    if (ends.stillOpen > 0) {
        return "othersOpen";
    }
    if (!hadStoppedListening) {
        return "refuses";
    }
    return ends.endedTogether > ends.endedAfterData && ends.endedTogether > 1
        ? "endedTogether"
        : "stoppedBefore";
};

/**
 * Tells whether an answer is complete.
 *
 * @param evidence - what decides
 */
export const isCompleteBy = (evidence: EndEvidence): boolean => {
    switch (evidence) {
        case "accepts":
        case "silent":
        case "othersOpen":
        case "stoppedBefore":
            return true;
        case "replaced":
        case "endedTogether":
        case "refuses":
            return false;
    }
};

/** Time between two probes of a server that leaves while its answers are under way, in milliseconds. */
const WATCH_PERIOD_MS = 200;

/** Answers of a server that are under way and will end with their connections. */
interface ServerAnswers {
    running: number;
    timer: Timer | undefined;
}

/** Options of {@link AnswerEnds}. */
export interface AnswerEndsOptions {
    /** Runtime of the process. */
    readonly runtime: Pick<Runtime, "clock" | "events">;
    /** Connections to backend servers. */
    readonly upstreams: UpstreamClient;
    /** Backend servers. */
    readonly directory: ServerDirectory;
    /** Published state, with the health checks of the services. */
    readonly store: Pick<PublishedStateStore, "configuration">;
    /** Header names of the installation. */
    readonly headers: Pick<CallHeaderNames, "serverId">;
    /** Metrics. */
    readonly metrics: CallMetrics;
}

/** Judges the ends of answers, and watches the servers that leave for what it takes to do so. */
export class AnswerEnds {
    private readonly answers = new Map<TrackedServer, ServerAnswers>();
    private readonly stopped = new WeakSet<TrackedServer>();

    /** @param options - connections and servers */
    public constructor(private readonly options: AnswerEndsOptions) {}

    /**
     * Records that an answer is under way that will end with its connection.
     *
     * @param server - its server
     * @returns to be disposed of when the answer has been judged
     */
    public begin(server: TrackedServer): Disposable {
        const answers = this.answers.get(server) ?? { running: 0, timer: undefined };
        this.answers.set(server, answers);
        answers.running++;
        if (answers.running === 1) {
            this.watch(server, answers);
        }
        return {
            [Symbol.dispose]: () => {
                if (--answers.running === 0) {
                    answers.timer?.cancel();
                    this.answers.delete(server);
                }
            },
        };
    }

    /**
     * Tells whether an answer is complete that has just ended with its connection.
     *
     * @param server - its server
     * @param requestId - identifier of the request, for the log
     */
    public async isComplete(server: TrackedServer, requestId: string | undefined): Promise<boolean> {
        const { directory, metrics, runtime: { events } } = this.options;
        const hadStoppedListening = this.stopped.has(server);
        const observed = await this.observe(server);
        const identity = observed.probe === "accepted" && hasEndedAtOnce(observed.ends)
            ? await this.identify(server)
            : undefined;
        const observation: EndObservation = { ...observed, hadStoppedListening, identity };
        const evidence = endEvidence(observation);
        metrics.countUnverifiedEnd(evidence);
        if (evidence === "accepts") {
            events.emit(answerEndConfirmed, {
                requestId,
                server: server.entry.id,
                identity,
                ...observed.ends,
            });
            return true;
        }
        const isComplete = isCompleteBy(evidence);
        events.emit(answerEndJudged, {
            requestId,
            server: server.entry.id,
            evidence,
            isComplete,
            isLeaving: directory.isLeaving(server),
            identity,
            ...observed.ends,
        });
        return isComplete;
    }

    private async observe(server: TrackedServer): Promise<Pick<EndObservation, "probe" | "ends">> {
        const { upstreams } = this.options;
        const observer = upstreams.observeEnds(server.entry.id);
        const probe = await upstreams.probe(server.entry.address);
        if (probe !== "refused") {
            return { probe, ends: observer.read() };
        }
        const ends = await observer.settled();
        if (ends.stillOpen > 0) {
            this.recordStopped(server);
        }
        return { probe, ends };
    }

    private async identify({ entry }: TrackedServer): Promise<EndObservation["identity"]> {
        const { headers, store, upstreams } = this.options;
        const healthPath = store.configuration?.services.get(entry.service)?.healthPath;
        if (healthPath === undefined) {
            return undefined;
        }
        const answer = await upstreams.identify({
            address: entry.address,
            healthPath,
            idHeader: headers.serverId,
        });
        if (answer.kind === "silent") {
            return "silent";
        }
        return answer.id === undefined ? "unnamed" : answer.id === entry.id ? "same" : "other";
    }

    private recordStopped(server: TrackedServer): void {
        if (!this.stopped.has(server)) {
            this.stopped.add(server);
            this.options.runtime.events.emit(serverStoppedListening, { server: server.entry.id });
        }
    }

    /** Finds out whether a server that leaves stops listening while its answers go on. */
    private watch(server: TrackedServer, answers: ServerAnswers): void {
        const { directory, runtime: { clock } } = this.options;
        const check = async (): Promise<void> => {
            if (directory.isLeaving(server)) {
                await this.observe(server);
            }
            if (answers.running > 0 && !this.stopped.has(server)) {
                answers.timer = clock.setTimer(WATCH_PERIOD_MS, () => void check());
            }
        };
        answers.timer = clock.setTimer(WATCH_PERIOD_MS, () => void check());
    }
}
