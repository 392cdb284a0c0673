/**
 * Format of the datagrams between instances: identity, known revision of the published state, and running
 * requests.
 *
 * @packageDocumentation
 */

import { create, fromBinary, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import {
    type Address,
    branded,
    type DataCentreId,
    hash32,
    type IncarnationId,
    type InstanceId,
    isAddress,
    MAX_DATAGRAM_BYTES,
    type Revision,
    type StoreEra,
} from "@magnolialock/kernel";
import {
    type DirectReport,
    DirectReportSchema,
    type PeerNews as NewsMessage,
    type PeerNewsSchema,
} from "@magnolialock/protocol";
import type { PeerNews } from "../types/peerNews.ts";
import type { PublishedServer } from "../types/publishedState.ts";

/** Report of one instance. */
export interface PeerReport {
    /** Name of the instance. */
    readonly instance: InstanceId;
    /** Incarnation; a restarted process has a new one. */
    readonly incarnation: IncarnationId;
    /** Its data centre. */
    readonly dataCentre: DataCentreId;
    /** Era of the published state that it knows; undefined from an earlier release. */
    readonly era: StoreEra | undefined;
    /** Revision of the published state that it knows. */
    readonly revision: Revision;
    /**
     * Highest revision that it knew before the store returned to this era from an older copy; 0 if it has noticed
     * no return, and from an earlier release.
     */
    readonly revisionBeforeReturn: Revision;
    /** Version of the configuration in force there; 0 if there is none, and from an earlier release. */
    readonly configurationVersion: number;
    /** Time for which it has followed the published state without a gap, in milliseconds. */
    readonly stateAgeMs: number;
    /** Time until its watch of the store ends, in milliseconds; undefined if it has none, and from an earlier release. */
    readonly watchEndsMs?: number | undefined;
    /**
     * Time since some instance found that open connections to the store had gone silent, in milliseconds; undefined if
     * none has lately.
     */
    readonly silenceAgeMs?: number | undefined;
    /**
     * Number of requests that it runs, by the {@link reportKey} of the backend server; servers without any are
     * omitted.
     */
    readonly running: ReadonlyMap<number, number>;
    /**
     * Time since it last knew a group of model servers to serve, in milliseconds, by the {@link reportKey} of
     * `<service>/<group>`.
     */
    readonly groupUpMs: ReadonlyMap<number, number>;
    /** Addresses of some other instances that it knows. */
    readonly members: readonly Address[];
    /** Number of instances that it has heard from, itself included. */
    readonly heardInstances: number;
    /** News; undefined if there are none. */
    readonly news?: PeerNews | undefined;
    /** Whether the datagram holds only news, and the fields of a report mean nothing. */
    readonly isNewsOnly?: boolean;
}

/**
 * Returns the key under which reports name a backend server or a group: short, since reports go to every
 * instance of a large fleet.
 *
 * @param name - identifier of the server or name of the group
 */
export const reportKey = (name: string): number => hash32(name);

/**
 * Returns the key of one process of a backend server; a server that starts again under its identifier has
 * another one.
 *
 * @param server - what the server published
 */
export const processKey = ({ bornMs, id }: PublishedServer): number =>
    hash32(bornMs === undefined ? id : `${id} ${bornMs}`);

/**
 * Encodes a report.
 *
 * @param report - the report
 * @returns the datagram
 */
export const encodePeerReport = (report: PeerReport): Uint8Array =>
    toBinary(
        DirectReportSchema,
        create(DirectReportSchema, {
            instance: report.instance,
            incarnation: report.incarnation,
            dataCentre: report.dataCentre,
            revision: BigInt(report.revision),
            ...(report.era === undefined ? {} : { era: BigInt(report.era) }),
            revisionBeforeReturn: BigInt(report.revisionBeforeReturn),
            configurationVersion: report.configurationVersion,
            stateAgeMs: toAge(report.stateAgeMs),
            ...(report.watchEndsMs === undefined ? {} : { watchEndsMs: toAge(report.watchEndsMs) }),
            ...(report.silenceAgeMs === undefined ? {} : { silenceAgeMs: toAge(report.silenceAgeMs) }),
            serverHashes: [...report.running.keys()],
            runningRequests: [...report.running.values()],
            groupHashes: [...report.groupUpMs.keys()],
            sinceGroupUpMs: [...report.groupUpMs.values()],
            members: [...report.members],
            heardInstances: report.heardInstances,
            ...(report.news ? { news: toMessage(report.news) } : {}),
            isNewsOnly: report.isNewsOnly ?? false,
        }),
    );

/** Largest age in a datagram, in milliseconds. */
const MAX_AGE_MS = 2 ** 31;

const toAge = (ageMs: number): number => Math.round(Math.min(MAX_AGE_MS, Math.max(0, ageMs)));

/** Limits travel as requests per this many seconds; 0 stands for a limit that has ended. */
const LIMIT_SCALE = 1_000;

const toMessage = (
    { crashes, leaving, limits, soundSuspects }: PeerNews,
): MessageInitShape<typeof PeerNewsSchema> => ({
    crashes: crashes.map(({ ageMs, id, sentBeforeMs, servedBeforeMs, server, suspects }) => ({
        id,
        server,
        ageMs: toAge(ageMs),
        sentBeforeMs: toAge(sentBeforeMs),
        servedBeforeMs: toAge(servedBeforeMs),
        suspects: [...suspects],
    })),
    soundSuspects: [...soundSuspects].map(([suspect, ageMs]) => ({ suspect, ageMs: toAge(ageMs) })),
    limitedServers: [...limits.keys()],
    limitsPer1000S: [...limits.values()].map(({ perS }) => Math.round((perS ?? 0) * LIMIT_SCALE)),
    limitAgesMs: [...limits.values()].map(({ ageMs }) => toAge(ageMs)),
    leavingServers: [...leaving],
});

const fromMessage = (
    { crashes, leavingServers, limitAgesMs, limitedServers, limitsPer1000S, soundSuspects }: NewsMessage,
): PeerNews => ({
    crashes,
    leaving: leavingServers,
    soundSuspects: new Map(soundSuspects.map(({ ageMs, suspect }) => [suspect, ageMs])),
    limits: new Map(limitedServers.flatMap((server, index) => {
        const limit = limitsPer1000S[index];
        const ageMs = limitAgesMs[index];
        return limit === undefined || ageMs === undefined
            ? []
            : [[server, { perS: limit === 0 ? undefined : limit / LIMIT_SCALE, ageMs }]];
    })),
});

/** Number of single news. */
const newsSize = ({ crashes, leaving, limits, soundSuspects }: PeerNews): number =>
    crashes.length + leaving.length + limits.size + soundSuspects.size;

/** Halves of news that do not fit into one datagram. */
const halve = (news: PeerNews): PeerNews[] => {
    const half = Math.ceil(newsSize(news) / 2);
    const sizes = [news.crashes.length, news.soundSuspects.size, news.limits.size, news.leaving.length];
    return [[0, half], [half, newsSize(news)]].map(([from = 0, to = 0]) => {
        // The four lists count as one after the other.
        const slices = sizes.map((size, index) => {
            const before = sizes.slice(0, index).reduce((sum, length) => sum + length, 0);
            return [from - before, to - before].map(end => Math.min(size, Math.max(0, end)));
        });
        const sliceOf = <T>(items: Iterable<T>, index: number): T[] =>
            [...items].slice(...slices[index] ?? []);
        return {
            crashes: sliceOf(news.crashes, 0),
            soundSuspects: new Map(sliceOf(news.soundSuspects, 1)),
            limits: new Map(sliceOf(news.limits, 2)),
            leaving: sliceOf(news.leaving, 3),
        };
    });
};

/** Report of no instance, for datagrams that hold news only. */
const NO_REPORT: PeerReport = {
    instance: branded<InstanceId>(""),
    incarnation: branded<IncarnationId>(""),
    dataCentre: branded<DataCentreId>(""),
    era: undefined,
    revision: branded<Revision>(0),
    revisionBeforeReturn: branded<Revision>(0),
    configurationVersion: 0,
    stateAgeMs: 0,
    running: new Map(),
    groupUpMs: new Map(),
    members: [],
    heardInstances: 0,
    isNewsOnly: true,
};

/**
 * Encodes news in datagrams of their own.
 *
 * @param news - the news
 * @returns the datagrams, each of at most {@link MAX_DATAGRAM_BYTES}
 */
export const encodePeerNews = (news: PeerNews): Uint8Array[] => {
    const size = newsSize(news);
    if (size === 0) {
        return [];
    }
    const bytes = encodePeerReport({ ...NO_REPORT, news });
    return bytes.length <= MAX_DATAGRAM_BYTES || size === 1
        ? [bytes]
        : halve(news).flatMap(encodePeerNews);
};

const zip = (keys: readonly number[], values: readonly number[]): ReadonlyMap<number, number> =>
    new Map(keys.map((key, index) => [key, values[index] ?? 0]));

/**
 * Decodes a report.
 *
 * @param bytes - the datagram
 * @returns the report; undefined if the datagram is not a valid report
 */
export const decodePeerReport = (bytes: Uint8Array): PeerReport | undefined => {
    let report: DirectReport;
    try {
        report = fromBinary(DirectReportSchema, bytes);
    }
    catch {
        return undefined;
    }
    const { dataCentre, heardInstances, incarnation, instance, members, revision } = report;
    const isAnonymous = instance === "" || incarnation === "" || dataCentre === "";
    if (isAnonymous && !report.isNewsOnly) {
        return undefined;
    }
    return {
        instance: branded<InstanceId>(instance),
        incarnation: branded<IncarnationId>(incarnation),
        dataCentre: branded<DataCentreId>(dataCentre),
        era: report.era === undefined ? undefined : branded<StoreEra>(Number(report.era)),
        revision: branded<Revision>(Number(revision)),
        revisionBeforeReturn: branded<Revision>(Number(report.revisionBeforeReturn)),
        configurationVersion: report.configurationVersion,
        stateAgeMs: report.stateAgeMs,
        watchEndsMs: report.watchEndsMs,
        silenceAgeMs: report.silenceAgeMs,
        running: zip(report.serverHashes, report.runningRequests),
        groupUpMs: zip(report.groupHashes, report.sinceGroupUpMs),
        members: members.filter((member): member is Address => isAddress(member)),
        heardInstances,
        news: report.news && fromMessage(report.news),
        isNewsOnly: report.isNewsOnly,
    };
};
