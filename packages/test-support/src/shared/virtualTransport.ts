/**
 * Connect transport over the in-process network. Messages in one direction of a call keep their order, as on
 * TCP, except those that a cut link delays.
 *
 * @packageDocumentation
 */

import {
    create,
    type DescMessage,
    type DescMethod,
    type DescMethodStreaming,
    type DescMethodUnary,
    type Message,
    type MessageInitShape,
    type MessageShape,
    toBinary,
} from "@bufbuild/protobuf";
import {
    Code,
    ConnectError,
    createHandlerContext,
    type HandlerContext,
    type StreamResponse,
    type Transport,
    type UnaryResponse,
} from "@connectrpc/connect";
import { type Address, AsyncQueue, observeMessage, stampMessage } from "@magnolialock/kernel";
import { CONNECTION_TIMEOUT_MS, type Endpoint, type NetworkCore, type VirtualListener } from "./endpoint.ts";

type MethodHandler = (input: unknown, context: HandlerContext) => unknown;

/** One direction of a call. Unless a cut delays them, actions arrive in the order in which they were sent. */
class OrderedPipe {
    private lastArrivalMs = 0;

    public constructor(
        private readonly network: NetworkCore,
        private readonly from: Endpoint,
        private readonly to: Endpoint,
        private readonly onBroken: () => void,
    ) {}

    /**
     * Runs an action at the receiver after the delay of the link. Over a cut link the action is delayed by
     * {@link CONNECTION_TIMEOUT_MS}; when the link is still cut then, the call breaks. Actions that arrive
     * after the cut has ended overtake those that it delays.
     */
    public send(action: () => void): void {
        if (!this.from.process.isAlive) {
            return;
        }
        const { clock, links } = this.network;
        const arrivalMs = Math.max(
            this.lastArrivalMs,
            clock.nowMs() + links.sampleDelayMs(this.from, this.to),
        );
        this.lastArrivalMs = arrivalMs;
        clock.setTimer(arrivalMs - clock.nowMs(), () => this.deliver(action));
    }

    private deliver(action: () => void): void {
        const { clock, links } = this.network;
        if (!links.isCut(this.from, this.to)) {
            this.to.process.run(action);
            return;
        }
        clock.setTimer(CONNECTION_TIMEOUT_MS, () => {
            if (links.isCut(this.from, this.to)) {
                this.onBroken();
                return;
            }
            this.to.process.run(action);
        });
    }
}

const createUnavailableError = (message: string): ConnectError => new ConnectError(message, Code.Unavailable);

const stampHybridTime = (sender: Endpoint, schema: DescMessage, message: Message): void => {
    if (sender.hybridClock) {
        stampMessage(sender.hybridClock, schema, message);
    }
};

const observeHybridTime = (receiver: Endpoint | undefined, schema: DescMessage, message: Message): void => {
    if (receiver?.hybridClock) {
        observeMessage(receiver.hybridClock, schema, message);
    }
};

/** One RPC from a client endpoint to the listener at an address. */
class VirtualCall {
    public readonly responses: AsyncQueue<Message>;
    private readonly serverAbortController = new AbortController();
    private readonly requests = new AsyncQueue<Message>();
    private isFinished = false;
    private server: Endpoint | undefined;
    private pipeToServer: OrderedPipe | undefined;
    private pipeToClient: OrderedPipe | undefined;

    public constructor(
        private readonly network: NetworkCore,
        private readonly client: Endpoint,
        private readonly address: Address,
        private readonly method: DescMethod,
        private readonly signal: AbortSignal | undefined,
    ) {
        this.responses = new AsyncQueue(() => this.cancel());
    }

    public start(): void {
        const listener = this.network.listenerAt(this.address);
        if (!listener) {
            this.network.clock.setTimer(
                1,
                () => this.client.process.run(() => this.breakCall("connection refused")),
            );
            return;
        }
        const server = listener.endpoint;
        this.server = server;
        const onBroken = (): void => this.breakCall("connection lost");
        this.pipeToServer = new OrderedPipe(this.network, this.client, server, onBroken);
        this.pipeToClient = new OrderedPipe(this.network, server, this.client, onBroken);
        this.client.killListeners.add(this.onEndpointKilled);
        server.killListeners.add(this.onEndpointKilled);
        this.signal?.addEventListener("abort", this.onAbort, { once: true });
        this.pipeToServer.send(() => void this.serve(listener));
    }

    public sendRequest(message: Message): void {
        const { input } = this.method;
        stampHybridTime(this.client, input, message);
        this.countTraffic(this.client, input, message);
        this.pipeToServer?.send(() => {
            observeHybridTime(this.server, input, message);
            this.requests.push(message);
        });
    }

    public endRequests(): void {
        this.pipeToServer?.send(() => this.requests.close());
    }

    public cancel(): void {
        if (!this.isFinished) {
            this.pipeToServer?.send(() => this.abortServer());
            this.finish();
        }
    }

    private readonly onAbort = (): void => {
        this.responses.fail(new ConnectError("the call was canceled", Code.Canceled));
        this.cancel();
    };

    private readonly onEndpointKilled = (): void => this.breakCall("connection reset");

    private countTraffic(sender: Endpoint, schema: DescMessage, message: Message): void {
        sender.traffic.sentMessages++;
        if (this.network.countBytes) {
            sender.traffic.sentBytes += toBinary(schema, message).length;
        }
    }

    private breakCall(reason: string): void {
        if (this.isFinished) {
            return;
        }
        this.finish();
        this.client.process.run(() => this.responses.fail(createUnavailableError(reason)));
        this.server?.process.run(() => this.abortServer());
    }

    private abortServer(): void {
        this.requests.fail(createUnavailableError("the caller is gone"));
        this.serverAbortController.abort(createUnavailableError("the caller is gone"));
    }

    private finish(): void {
        this.isFinished = true;
        this.signal?.removeEventListener("abort", this.onAbort);
        this.client.killListeners.delete(this.onEndpointKilled);
        this.server?.killListeners.delete(this.onEndpointKilled);
    }

    private findHandler(listener: VirtualListener): MethodHandler | undefined {
        const binding = listener.bindings.find(({ service }) =>
            service.typeName === this.method.parent.typeName
        );
        const implementation = binding?.implementation as Record<string, MethodHandler> | undefined;
        return implementation?.[this.method.localName]?.bind(implementation);
    }

    private async serve(listener: VirtualListener): Promise<void> {
        const handler = this.findHandler(listener);
        try {
            if (!handler) {
                throw new ConnectError(`${this.method.name} is not implemented`, Code.Unimplemented);
            }
            for await (const response of this.runHandler(handler)) {
                const message = this.interceptResponse(
                    listener.endpoint,
                    create(this.method.output, response as MessageInitShape<DescMessage>),
                );
                this.sendResponse(listener.endpoint, message);
            }
            this.pipeToClient?.send(() => this.endResponses());
        }
        catch (error) {
            this.pipeToClient?.send(() => this.endResponses(ConnectError.from(error)));
        }
    }

    private sendResponse(server: Endpoint, message: Message): void {
        const { output } = this.method;
        stampHybridTime(server, output, message);
        this.countTraffic(server, output, message);
        this.pipeToClient?.send(() => {
            observeHybridTime(this.client, output, message);
            this.responses.push(message);
        });
    }

    private interceptResponse(from: Endpoint, message: Message): Message {
        const { method, client: to } = this;
        return this.network.interceptResponse?.({ from, to, method, message }) ?? message;
    }

    private endResponses(error?: ConnectError): void {
        if (error) {
            this.responses.fail(error);
        }
        this.responses.close();
        this.finish();
    }

    private async *runHandler(handler: MethodHandler): AsyncGenerator<unknown> {
        const context = createHandlerContext({
            service: this.method.parent,
            method: this.method,
            protocolName: "in-process",
            requestMethod: "POST",
            url: `http://${this.address}`,
            requestSignal: this.serverAbortController.signal,
        });
        const hasRequestStream = this.method.methodKind === "client_streaming"
            || this.method.methodKind === "bidi_streaming";
        const input = hasRequestStream ? this.requests : (await this.requests.next()).value;
        const result = handler(input, context);
        if (this.method.methodKind === "unary" || this.method.methodKind === "client_streaming") {
            yield await result;
            return;
        }
        yield* result as AsyncIterable<unknown>;
    }
}

/**
 * Creates a transport from one client to one address.
 *
 * @param network - in-process network
 * @param client - endpoint of the calling process
 * @param address - address of the server
 * @returns a Connect transport; calls fail with `unavailable` when nothing listens at the address
 */
export const createVirtualTransport = (
    network: NetworkCore,
    client: Endpoint,
    address: Address,
): Transport => ({
    async unary<I extends DescMessage, O extends DescMessage>(
        method: DescMethodUnary<I, O>,
        signal: AbortSignal | undefined,
        _timeoutMs: number | undefined,
        _header: HeadersInit | undefined,
        input: MessageInitShape<I>,
    ): Promise<UnaryResponse<I, O>> {
        signal?.throwIfAborted();
        const call = new VirtualCall(network, client, address, method, signal);
        call.start();
        call.sendRequest(create(method.input, input));
        call.endRequests();
        const { value, done } = await call.responses.next();
        if (done || value === undefined) {
            throw new ConnectError("the answer is missing", Code.Unimplemented);
        }
        return {
            stream: false,
            service: method.parent,
            method,
            header: new Headers(),
            trailer: new Headers(),
            message: value as MessageShape<O>,
        };
    },
    async stream<I extends DescMessage, O extends DescMessage>(
        method: DescMethodStreaming<I, O>,
        signal: AbortSignal | undefined,
        _timeoutMs: number | undefined,
        _header: HeadersInit | undefined,
        input: AsyncIterable<MessageInitShape<I>>,
    ): Promise<StreamResponse<I, O>> {
        signal?.throwIfAborted();
        const call = new VirtualCall(network, client, address, method, signal);
        call.start();
        void (async () => {
            for await (const message of input) {
                call.sendRequest(create(method.input, message));
            }
            call.endRequests();
        })();
        return {
            stream: true,
            service: method.parent,
            method,
            header: new Headers(),
            trailer: new Headers(),
            message: call.responses as unknown as AsyncIterable<MessageShape<O>>,
        };
    },
});
