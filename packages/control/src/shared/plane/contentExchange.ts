/**
 * Exchange of rule file contents between processes: deltas if the requester has a recent content, otherwise
 * the full content.
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
    /** Clock, network, random source and event log of the process. */
    readonly runtime: Runtime;
    /** Authenticator for messages within the fleet. */
    readonly authenticator: MessageAuthenticator;
    /** Configuration in force. */
    readonly store: ConfigurationStore;
}

/** Timeout of one request, in milliseconds. */
const FETCH_TIMEOUT_MS = 2_000;
const MAX_NONCE = 0x7fffffff;
/**
 * Minimum time between two full contents that a process sends to requesters that accept a refusal, in
 * milliseconds. It distributes the load over the processes that have the content.
 */
const FULL_CONTENT_INTERVAL_MS = 45_000;
/** Maximum number of findings of a rejected revision that are sent to peers. */
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

/** Serves contents to peers, and fetches contents from them. */
export class ContentExchange implements Disposable {
    /** Service that peers call to fetch the configuration. */
    public readonly service: ServiceBinding;
    private readonly runtime: Runtime;
    private readonly authenticator: MessageAuthenticator;
    private readonly store: ConfigurationStore;
    private readonly history: ContentHistory;
    private fullContentSentAtMs = Number.NEGATIVE_INFINITY;

    /** @param options - runtime, authenticator and store */
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
     * Fetches a peer's configuration in force, and its newest rejected revision, into the store.
     *
     * @param address - address of the peer
     * @param source - name of the peer, for events
     * @param signal - cancels the fetch
     * @param mayRefuse - whether the peer may refuse a full content because it has sent one recently
     * @throws UnreachableError if the peer refuses
     * @throws ProtocolError if the response is malformed or fails authentication
     * @throws ConnectError if the peer does not respond
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
            throw new UnreachableError(
                "the peer refused: it has recently sent the full content to another process",
            );
        }
        if (Number(content.revision) <= (this.store.current?.revision ?? 0)) {
            return;
        }
        const bytes = this.reconstruct(content) ?? await this.fetchFullContent(address, content, signal);
        this.store.offer(branded<Revision>(Number(content.revision)), bytes, source);
    }

    /** Unsubscribes from the store. */
    public [Symbol.dispose](): void {
        this.history[Symbol.dispose]();
    }

    private async request(
        address: Address,
        knownContentHash: string,
        signal: AbortSignal,
        mayRefuse = false,
    ): Promise<ConfigurationContent> {
        const { clock, network, random } = this.runtime;
        using deadline = timeoutSignal(clock, FETCH_TIMEOUT_MS, signal);
        const nonce = random.nextInt(1, MAX_NONCE);
        const request = toBinary(
            ConfigurationRequestSchema,
            create(ConfigurationRequestSchema, { nonce, knownContentHash, mayRefuseWhole: mayRefuse }),
        );
        const client = createClient(ControlService, network.transportTo(address));
        const response = await client.getConfiguration(this.authenticator.sign(request), {
            signal: deadline.signal,
        });
        const payload = this.authenticator.verify(response);
        if (!payload) {
            throw new ProtocolError(
                "the peer's response failed authentication: check that --shared-key is the same",
            );
        }
        const content = fromBinary(ConfigurationContentSchema, payload);
        if (content.nonce !== nonce) {
            throw new ProtocolError("the peer's response carries the nonce of another request");
        }
        return content;
    }

    /** Reconstructs the content from a response; undefined if the full content has to be fetched instead. */
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
            throw new ProtocolError("the peer's full content has another revision or hash than announced");
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
        const response = create(ConfigurationContentSchema, {
            nonce,
            ...this.describeContent(knownContentHash),
        });
        if (response.body.case === "whole") {
            this.limitFullContent(response, mayRefuseWhole);
        }
        return this.authenticator.sign(toBinary(ConfigurationContentSchema, response));
    }

    private limitFullContent(response: ConfigurationContent, mayRefuse: boolean): void {
        const nowMs = this.runtime.clock.nowMs();
        if (mayRefuse && nowMs - this.fullContentSentAtMs < FULL_CONTENT_INTERVAL_MS) {
            response.body = { case: undefined };
            response.isBusy = true;
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
