/**
 * Contents of the rule file between processes: deltas where the peer has a recent content, else the whole.
 *
 * @packageDocumentation
 */

import { create, fromBinary, type MessageInitShape, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError, createClient } from "@connectrpc/connect";
import {
    type Address,
    bindService,
    branded,
    contentHash,
    ProtocolError,
    type Revision,
    type Runtime,
    type ServiceBinding,
    timeoutSignal,
    UnreachableError,
} from "@magnolialock/kernel";
import {
    type ConfigurationContent,
    ConfigurationContentSchema,
    ConfigurationRequestSchema,
    type ContentDelta,
    type ContentDeltaSchema,
    ControlService,
    type SealedMessageSchema,
} from "@magnolialock/protocol";
import { MAX_RULES_BYTES } from "@magnolialock/rules";
import type { ConfigurationStore } from "../configurationStore.ts";
import { applyDelta, type DeltaSteps } from "../contentDelta.ts";
import { ContentHistory } from "../contentHistory.ts";
import type { MessageAuthenticator } from "../messageAuthenticator.ts";
import { compress, decompress } from "./compression.ts";

/** Options of {@link ContentExchange}. */
export interface ContentExchangeOptions {
    /** Surroundings of the process. */
    readonly runtime: Runtime;
    /** Seal of the fleet. */
    readonly authenticator: MessageAuthenticator;
    /** Configuration in force. */
    readonly store: ConfigurationStore;
}

/** Longest time of one fetch, in milliseconds. */
const FETCH_TIMEOUT_MS = 2_000;
const MAX_NONCE = 0x7fffffff;
/** Time between two whole contents that a process sends while others can, in milliseconds; it spreads the load. */
const FULL_CONTENT_INTERVAL_MS = 45_000;
/** Findings of a rejected revision that travel to peers. */
const MAX_SENT_FINDINGS = 50;

const toDeltaMessage = (steps: DeltaSteps): MessageInitShape<typeof ContentDeltaSchema> => ({
    parts: steps.map(step =>
        step.kind === "copy"
            ? { part: { case: "copy", value: { offset: step.offset, length: step.length } } }
            : { part: { case: "insert", value: step.bytes } }
    ),
});

const fromDeltaMessage = (message: ContentDelta): DeltaSteps =>
    message.parts.map(({ part }) => {
        if (part.case === "copy") {
            return { kind: "copy", offset: part.value.offset, length: part.value.length };
        }
        return { kind: "insert", bytes: part.value ?? new Uint8Array() };
    });

/** Serves contents to peers and fetches them. */
export class ContentExchange implements Disposable {
    /** The call that peers make. */
    public readonly service: ServiceBinding;
    private readonly runtime: Runtime;
    private readonly authenticator: MessageAuthenticator;
    private readonly store: ConfigurationStore;
    private readonly history: ContentHistory;
    private fullContentSentAtMs = Number.NEGATIVE_INFINITY;

    /** @param options - surroundings, seal and store */
    public constructor(options: ContentExchangeOptions) {
        this.runtime = options.runtime;
        this.authenticator = options.authenticator;
        this.store = options.store;
        this.history = new ContentHistory(options.store);
        this.service = bindService(ControlService, {
            getConfiguration: request => this.serve(request.payload, request.authentication),
        });
    }

    /**
     * Fetches what a peer has in force, and what it rejected, into the store.
     *
     * @param address - the peer
     * @param source - its name, for events
     * @param signal - gives the fetch up
     * @param mayRefuse - whether the peer may refuse to send a whole content because it sent one lately
     * @throws UnreachableError when the peer refuses
     * @throws ProtocolError when the answer is malformed or not authentic
     * @throws ConnectError when the peer does not answer
     */
    public async fetch(
        address: Address,
        source: string,
        signal: AbortSignal,
        mayRefuse = false,
    ): Promise<void> {
        const known = this.store.current?.contentHash ?? "";
        const content = await this.request(address, known, signal, mayRefuse);
        this.recordPeerRejection(content, source);
        if (content.isBusy) {
            throw new UnreachableError("the peer has just sent a whole content to another process");
        }
        if (Number(content.revision) <= (this.store.current?.revision ?? 0)) {
            return;
        }
        const bytes = this.reconstruct(content) ?? await this.fetchFullContent(address, content, signal);
        this.store.offer(branded<Revision>(Number(content.revision)), bytes, source);
    }

    /** Stops following the store. */
    public [Symbol.dispose](): void {
        this.history[Symbol.dispose]();
    }

    private async request(
        address: Address,
        knownContentHash: string,
        signal: AbortSignal,
        mayRefuseWhole = false,
    ): Promise<ConfigurationContent> {
        const { clock, network, random } = this.runtime;
        using deadline = timeoutSignal(clock, FETCH_TIMEOUT_MS, signal);
        const nonce = random.nextInt(1, MAX_NONCE);
        const request = toBinary(
            ConfigurationRequestSchema,
            create(ConfigurationRequestSchema, { nonce, knownContentHash, mayRefuseWhole }),
        );
        const client = createClient(ControlService, network.transportTo(address));
        const sealed = await client.getConfiguration(this.authenticator.sign(request), {
            signal: deadline.signal,
        });
        const payload = this.authenticator.verify(sealed);
        if (!payload) {
            throw new ProtocolError("the peer's configuration is not authentic: check --shared-key");
        }
        const content = fromBinary(ConfigurationContentSchema, payload);
        if (content.nonce !== nonce) {
            throw new ProtocolError("the peer's answer belongs to another question");
        }
        return content;
    }

    /** Builds the content from what the peer sent; undefined when only the whole content can help. */
    private reconstruct(content: ConfigurationContent): Uint8Array | undefined {
        const { current } = this.store;
        if (content.body.case === "whole") {
            const fullContent = decompress(content.body.value, MAX_RULES_BYTES);
            return contentHash(fullContent) === content.contentHash ? fullContent : undefined;
        }
        if (!current) {
            return undefined;
        }
        const deltas = content.body.case === "deltas" ? content.body.value.deltas.map(fromDeltaMessage) : [];
        const bytes = deltas.reduce((base, steps) => applyDelta(base, steps, MAX_RULES_BYTES), current.bytes);
        if (contentHash(bytes) !== content.contentHash) {
            return undefined;
        }
        const [singleDelta] = deltas;
        if (singleDelta && deltas.length === 1) {
            this.history.cacheReceivedDelta(current.contentHash, content.contentHash, singleDelta);
        }
        return bytes;
    }

    private async fetchFullContent(
        address: Address,
        expected: ConfigurationContent,
        signal: AbortSignal,
    ): Promise<Uint8Array> {
        const content = await this.request(address, "", signal);
        const bytes = content.revision === expected.revision ? this.reconstruct(content) : undefined;
        if (!bytes) {
            throw new ProtocolError("the peer's content does not match its hash");
        }
        return bytes;
    }

    private recordPeerRejection(content: ConfigurationContent, source: string): void {
        const revision = branded<Revision>(Number(content.rejectedRevision));
        if (revision > 0) {
            const findings = content.rejectedFindings.map(({ $typeName: _, ...finding }) => finding);
            this.store.recordRejected({ revision, findings }, source);
        }
    }

    private serve(
        payload: Uint8Array,
        authentication: Uint8Array,
    ): MessageInitShape<typeof SealedMessageSchema> {
        const verified = this.authenticator.verify({ payload, authentication });
        if (!verified) {
            throw new ConnectError("the request is not authentic: check --shared-key", Code.Unauthenticated);
        }
        const { nonce, knownContentHash, mayRefuseWhole } = fromBinary(ConfigurationRequestSchema, verified);
        const answer = create(ConfigurationContentSchema, {
            nonce,
            ...this.describeContent(knownContentHash),
        });
        if (answer.body.case === "whole") {
            this.limitFullContent(answer, mayRefuseWhole);
        }
        return this.authenticator.sign(toBinary(ConfigurationContentSchema, answer));
    }

    private limitFullContent(answer: ConfigurationContent, mayRefuse: boolean): void {
        const nowMs = this.runtime.clock.nowMs();
        if (mayRefuse && nowMs - this.fullContentSentAtMs < FULL_CONTENT_INTERVAL_MS) {
            answer.body = { case: undefined };
            answer.isBusy = true;
            return;
        }
        this.fullContentSentAtMs = nowMs;
    }

    private describeContent(knownContentHash: string): MessageInitShape<typeof ConfigurationContentSchema> {
        const { current, rejected } = this.store;
        const deltas = this.history.deltasFrom(knownContentHash);
        const body = ((): MessageInitShape<typeof ConfigurationContentSchema>["body"] => {
            if (!current || knownContentHash === current.contentHash) {
                return { case: undefined };
            }
            return deltas
                ? { case: "deltas", value: { deltas: deltas.map(toDeltaMessage) } }
                : { case: "whole", value: compress(current.bytes) };
        })();
        return {
            body,
            revision: BigInt(current?.revision ?? 0),
            contentHash: current?.contentHash ?? "",
            rejectedRevision: BigInt(rejected?.revision ?? 0),
            rejectedFindings: rejected?.findings.slice(0, MAX_SENT_FINDINGS) ?? [],
        };
    }
}
