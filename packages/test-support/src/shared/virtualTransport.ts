/**
 * Connect transport over the in-process network. Messages of one call keep their order, as on TCP.
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

type Handler = (input: unknown, context: HandlerContext) => unknown;

/** One direction of a call; deliveries keep their order. */
class OrderedPipe {
    private lastArrivalMs = 0;

    public constructor(
        private readonly network: NetworkCore,
        private readonly from: Endpoint,
        private readonly to: Endpoint,
        private readonly onBroken: () => void,
    ) {}

    /** Delivers an action at the receiver, or breaks the call when the link stays cut. */
    public send(action: () => void): void {
        if (!this.from.process.isAlive) {
            return;
        }
        const { clock, links } = this.network;
        const arrivalMs = Math.max(this.lastArrivalMs, clock.nowMs() + links.drawDelayMs(this.from, this.to));
        this.lastArrivalMs = arrivalMs;
        clock.setTimer(arrivalMs - clock.nowMs(), () => this.arrive(action));
    }

    private arrive(action: () => void): void {
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

const unavailable = (text: string): ConnectError => new ConnectError(text, Code.Unavailable);

const stamp = (sender: Endpoint, schema: DescMessage, message: Message): void => {
    if (sender.hybridClock) {
        stampMessage(sender.hybridClock, schema, message);
    }
};

const observe = (receiver: Endpoint | undefined, schema: DescMessage, message: Message): void => {
    if (receiver?.hybridClock) {
        observeMessage(receiver.hybridClock, schema, message);
    }
};

/** One call between two endpoints. */
class VirtualCall {
    public readonly outputs: AsyncQueue<Message>;
    private readonly serverAbort = new AbortController();
    private readonly inputs = new AsyncQueue<Message>();
    private isOver = false;
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
        this.outputs = new AsyncQueue(() => this.cancel());
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
        this.client.openCalls.add(this.onEndpointKilled);
        server.openCalls.add(this.onEndpointKilled);
        this.signal?.addEventListener("abort", this.onAbort, { once: true });
        this.pipeToServer.send(() => void this.serve(listener));
    }

    public sendInput(message: Message): void {
        const { input } = this.method;
        stamp(this.client, input, message);
        this.count(this.client, input, message);
        this.pipeToServer?.send(() => {
            observe(this.server, input, message);
            this.inputs.push(message);
        });
    }

    public endInputs(): void {
        this.pipeToServer?.send(() => this.inputs.close());
    }

    public cancel(): void {
        if (!this.isOver) {
            this.pipeToServer?.send(() => this.abortServer());
            this.finish();
        }
    }

    private readonly onAbort = (): void => {
        this.outputs.fail(new ConnectError("the call was canceled", Code.Canceled));
        this.cancel();
    };

    private readonly onEndpointKilled = (): void => this.breakCall("connection reset");

    private count(sender: Endpoint, schema: DescMessage, message: Message): void {
        sender.traffic.sentMessages++;
        if (this.network.countBytes) {
            sender.traffic.sentBytes += toBinary(schema, message).length;
        }
    }

    private breakCall(text: string): void {
        if (this.isOver) {
            return;
        }
        this.finish();
        this.client.process.run(() => this.outputs.fail(unavailable(text)));
        this.server?.process.run(() => this.abortServer());
    }

    private abortServer(): void {
        this.inputs.fail(unavailable("the caller is gone"));
        this.serverAbort.abort(unavailable("the caller is gone"));
    }

    private finish(): void {
        this.isOver = true;
        this.signal?.removeEventListener("abort", this.onAbort);
        this.client.openCalls.delete(this.onEndpointKilled);
        this.server?.openCalls.delete(this.onEndpointKilled);
    }

    private findHandler(listener: VirtualListener): Handler | undefined {
        const binding = listener.bindings.find(({ service }) =>
            service.typeName === this.method.parent.typeName
        );
        const implementation = binding?.implementation as Record<string, Handler> | undefined;
        return implementation?.[this.method.localName]?.bind(implementation);
    }

    private async serve(listener: VirtualListener): Promise<void> {
        const handler = this.findHandler(listener);
        try {
            if (!handler) {
                throw new ConnectError(`${this.method.name} is not implemented`, Code.Unimplemented);
            }
            for await (const output of this.runHandler(handler)) {
                const message = this.tamper(
                    listener.endpoint,
                    create(this.method.output, output as MessageInitShape<DescMessage>),
                );
                this.sendOutput(listener.endpoint, message);
            }
            this.pipeToClient?.send(() => this.end());
        }
        catch (error) {
            this.pipeToClient?.send(() => this.end(ConnectError.from(error)));
        }
    }

    private sendOutput(server: Endpoint, message: Message): void {
        const { output } = this.method;
        stamp(server, output, message);
        this.count(server, output, message);
        this.pipeToClient?.send(() => {
            observe(this.client, output, message);
            this.outputs.push(message);
        });
    }

    private tamper(from: Endpoint, message: Message): Message {
        const { method, client: to } = this;
        return this.network.tamper?.({ from, to, method, message }) ?? message;
    }

    private end(error?: ConnectError): void {
        if (error) {
            this.outputs.fail(error);
        }
        this.outputs.close();
        this.finish();
    }

    private async *runHandler(handler: Handler): AsyncGenerator<unknown> {
        const context = createHandlerContext({
            service: this.method.parent,
            method: this.method,
            protocolName: "in-process",
            requestMethod: "POST",
            url: `http://${this.address}`,
            requestSignal: this.serverAbort.signal,
        });
        const takesStream = this.method.methodKind === "client_streaming"
            || this.method.methodKind === "bidi_streaming";
        const input = takesStream ? this.inputs : (await this.inputs.next()).value;
        const result = handler(input, context);
        if (this.method.methodKind === "unary" || this.method.methodKind === "client_streaming") {
            yield await result;
            return;
        }
        yield* result as AsyncIterable<unknown>;
    }
}

/**
 * Creates the transport of one client to one address.
 *
 * @param network - the in-process network
 * @param client - endpoint that calls
 * @param address - address of the server
 * @returns a connect transport
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
        call.sendInput(create(method.input, input));
        call.endInputs();
        const { value, done } = await call.outputs.next();
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
                call.sendInput(create(method.input, message));
            }
            call.endInputs();
        })();
        return {
            stream: true,
            service: method.parent,
            method,
            header: new Headers(),
            trailer: new Headers(),
            message: call.outputs as unknown as AsyncIterable<MessageShape<O>>,
        };
    },
});
