/**
 * Conversion between members, digests and summaries and their protobuf messages.
 *
 * @packageDocumentation
 */

import { create, type MessageInitShape } from "@bufbuild/protobuf";
import { type Address, branded, type DataCentreId, type InstanceId, isAddress } from "@magnolialock/kernel";
import {
    type DataCentreSummary as SummaryMessage,
    type DataCentreSummarySchema,
    type Digest as DigestMessage,
    type DigestSchema,
    type Member as MemberMessage,
    MemberRole as RoleNumber,
    MemberSchema,
    MemberState as StateNumber,
} from "@magnolialock/protocol";
import type {
    DataCentreSummary,
    MemberIdentity,
    MemberReport,
    MemberRole,
    MemberState,
} from "../../types/member.ts";

/** A process's knowledge of the configuration. */
export interface Digest {
    /** Revision in force; 0 if there is none. */
    readonly revision: number;
    /** Hash of the content in force. */
    readonly contentHash: string;
    /** Newest rejected revision; 0 if there is none. */
    readonly rejectedRevision: number;
    /** Time since the platform last confirmed the revision, in milliseconds; undefined if it never did. */
    readonly platformAgeMs: number | undefined;
}

const MAX_NAME_LENGTH = 128;

const ROLE_NUMBERS: Readonly<Record<MemberRole, RoleNumber>> = {
    entry: RoleNumber.ENTRY,
    agent: RoleNumber.AGENT,
};

const STATE_NUMBERS: Readonly<Record<MemberState, StateNumber>> = {
    alive: StateNumber.ALIVE,
    suspect: StateNumber.SUSPECT,
    leaving: StateNumber.LEAVING,
    dead: StateNumber.DEAD,
};

const keyOf = <K extends string, V>(table: Readonly<Record<K, V>>, value: V): K | undefined =>
    (Object.keys(table) as K[]).find(key => table[key] === value);

const isName = (text: string): boolean => text.length > 0 && text.length <= MAX_NAME_LENGTH;

const memberMessages = new WeakMap<MemberIdentity, MemberMessage>();

/**
 * Encodes a member. The message of a report is cached, because reports are immutable.
 *
 * @param report - a report, or only an identity
 * @returns the message
 */
export const toMemberMessage = (report: MemberIdentity & Partial<MemberReport>): MemberMessage => {
    const known = memberMessages.get(report);
    if (known) {
        return known;
    }
    const message = create(MemberSchema, {
        name: report.name,
        role: ROLE_NUMBERS[report.role],
        dataCentre: report.dataCentre,
        address: report.address,
        incarnation: BigInt(report.incarnation ?? 0),
        state: STATE_NUMBERS[report.state ?? "alive"],
        accuser: report.accuser ?? "",
    });
    memberMessages.set(report, message);
    return message;
};

/**
 * Decodes a member.
 *
 * @param message - the message
 * @returns the report; undefined if the message is malformed
 */
export const fromMemberMessage = (message: MemberMessage | undefined): MemberReport | undefined => {
    if (!message || !isName(message.name) || !isName(message.dataCentre) || !isAddress(message.address)) {
        return undefined;
    }
    const role = keyOf(ROLE_NUMBERS, message.role);
    const state = keyOf(STATE_NUMBERS, message.state);
    const incarnation = Number(message.incarnation);
    if (!role || !state || !Number.isSafeInteger(incarnation)) {
        return undefined;
    }
    return {
        role,
        state,
        incarnation,
        name: branded<InstanceId>(message.name),
        dataCentre: branded<DataCentreId>(message.dataCentre),
        address: branded<Address>(message.address),
        accuser: message.accuser === "" ? undefined : branded<InstanceId>(message.accuser),
    };
};

/**
 * Encodes a digest.
 *
 * @param digest - the digest
 * @returns the message
 */
export const toDigestMessage = (digest: Digest): MessageInitShape<typeof DigestSchema> => ({
    revision: BigInt(digest.revision),
    contentHash: digest.contentHash,
    rejectedRevision: BigInt(digest.rejectedRevision),
    platformAgeMs: digest.platformAgeMs === undefined ? undefined : Math.ceil(digest.platformAgeMs),
});

/**
 * Decodes a digest.
 *
 * @param message - the message
 * @returns the digest
 */
export const fromDigestMessage = (message: DigestMessage | undefined): Digest => ({
    revision: Number(message?.revision ?? 0n),
    contentHash: message?.contentHash ?? "",
    rejectedRevision: Number(message?.rejectedRevision ?? 0n),
    platformAgeMs: message?.platformAgeMs,
});

/**
 * Encodes a summary. Its age replaces its time, because clocks of processes differ.
 *
 * @param summary - the summary
 * @param nowMs - time on the monotonic clock, in milliseconds
 * @returns the message
 */
export const toSummaryMessage = (
    summary: DataCentreSummary,
    nowMs: number,
): MessageInitShape<typeof DataCentreSummarySchema> => ({
    dataCentre: summary.dataCentre,
    ageMs: Math.max(0, Math.round(nowMs - summary.createdAtMs)),
    entryCount: summary.entryCount,
    agentCount: summary.agentCount,
    contacts: summary.contacts.map(toMemberMessage),
});

/**
 * Decodes a summary.
 *
 * @param message - the message
 * @param nowMs - time on the monotonic clock, in milliseconds
 * @returns the summary; undefined if the message is malformed
 */
export const fromSummaryMessage = (message: SummaryMessage, nowMs: number): DataCentreSummary | undefined => {
    if (!isName(message.dataCentre)) {
        return undefined;
    }
    return {
        dataCentre: branded<DataCentreId>(message.dataCentre),
        createdAtMs: nowMs - message.ageMs,
        entryCount: message.entryCount,
        agentCount: message.agentCount,
        contacts: message.contacts.map(fromMemberMessage).filter(contact => contact !== undefined),
    };
};
