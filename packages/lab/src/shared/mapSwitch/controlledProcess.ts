/**
 * Simulated process whose messages are delivered and whose timers fire only when a search chooses them.
 *
 * @packageDocumentation
 */

import {
    create,
    type DescMessage,
    type DescMethodUnary,
    type MessageInitShape,
    type MessageShape,
    toJsonString,
} from "@bufbuild/protobuf";
import {
    Code,
    ConnectError,
    createHandlerContext,
    type Transport,
    type UnaryResponse,
} from "@connectrpc/connect";
import {
    type Address,
    createRandomSource,
    EventLog,
    type Network,
    noMetrics,
    type Runtime,
    type ServiceBinding,
    type Timer,
} from "@magnolialock/kernel";

/** Pending delivery of a message or firing of a timer. */
export interface PendingAction {
    /** Index of the process that receives it. */
    readonly processIndex: number;
    /** Identifier that does not depend on the order of actions, so that a search can replay a choice. */
    readonly label: string;
    /** Content of the message without sequence numbers, for comparing states; empty for a timer. */
    readonly content: string;
    /** Whether it is a timer rather than a message. */
    readonly isTimer: boolean;
    /** Delivers the message or fires the timer. */
    readonly run: () => void;
}

/** All processes, and the messages in flight between them. */
export interface ControlledProcesses {
    /** Actions that can be chosen next. */
    readonly pending: Set<PendingAction>;
    /**
     * Resolves an address to the process that listens there.
     *
     * @param address - address of the process
     * @returns index of the process, and its service
     */
    resolveAddress(address: Address): { readonly processIndex: number; readonly service: ServiceBinding; };
    /**
     * Records the outcome of a call.
     *
     * @param processIndex - index of the calling process
     * @param content - the reply, or that the call timed out
     */
    recordReply(processIndex: number, content: string): void;
}

type Handler = (input: unknown, context: unknown) => Promise<unknown>;

/** Formats a message without the contents of maps and the list of known maps. */
const describeMessage = <T extends DescMessage>(schema: T, message: MessageShape<T>): string =>
    toJsonString(schema, message).replace(/"map":"[^"]*"/g, "").replace(/"knownMapIds":\[[^\]]*\]/g, "");

const unaryResponse = <I extends DescMessage, O extends DescMessage>(
    method: DescMethodUnary<I, O>,
    message: MessageShape<O>,
): UnaryResponse<I, O> => ({
    stream: false,
    service: method.parent,
    method,
    header: new Headers(),
    trailer: new Headers(),
    message,
});

/** One incarnation of a process; nothing reaches it after it was killed. */
export class ControlledProcess {
    /** Runtime of the process's tasks. */
    public readonly runtime: Runtime;
    private isAlive = true;
    private nextNumber = 0;

    /**
     * @param processes - all processes
     * @param index - index of this process
     * @param incarnation - number of its incarnation
     */
    public constructor(
        private readonly processes: ControlledProcesses,
        private readonly index: number,
        private readonly incarnation: number,
    ) {
        const clock = {
            nowMs: () => 0,
            wallMs: () => 0,
            setTimer: (_delayMs: number, callback: () => void) => this.setTimer(callback),
        };
        this.runtime = {
            clock,
            random: createRandomSource(index),
            network: this.createNetwork(),
            events: new EventLog({ clock, instance: `rank-${index}`, capacity: 1 }),
            metrics: noMetrics,
        };
    }

    /** Kills the process. Requests that it has sent stay in flight. */
    public kill(): void {
        this.isAlive = false;
        for (const action of this.processes.pending) {
            if (action.processIndex === this.index && action.label.startsWith(`${this.name}:`)) {
                this.processes.pending.delete(action);
            }
        }
    }

    private get name(): string {
        return `${this.index}.${this.incarnation}`;
    }

    private newLabel(kind: string): string {
        return `${this.name}:${kind}${this.nextNumber++}`;
    }

    private add(details: Omit<PendingAction, "run">, run: () => void): PendingAction {
        const action: PendingAction = {
            ...details,
            run: () => {
                this.processes.pending.delete(action);
                run();
            },
        };
        this.processes.pending.add(action);
        return action;
    }

    private setTimer(callback: () => void): Timer {
        const details = {
            processIndex: this.index,
            label: this.newLabel("timer"),
            content: "",
            isTimer: true,
        };
        const action = this.add(details, callback);
        const cancel = (): void => {
            this.processes.pending.delete(action);
        };
        return { cancel, [Symbol.dispose]: cancel };
    }

    private createNetwork(): Network {
        return {
            transportTo: address => this.createTransport(address),
            listen: () => Promise.reject(new Error("not supported")),
            openDatagramSocket: () => Promise.reject(new Error("not supported")),
        };
    }

    private createTransport(address: Address): Transport {
        return {
            unary: <I extends DescMessage, O extends DescMessage>(
                method: DescMethodUnary<I, O>,
                signal: AbortSignal | undefined,
                _timeoutMs: number | undefined,
                _header: HeadersInit | undefined,
                input: MessageInitShape<I>,
            ): Promise<UnaryResponse<I, O>> =>
                this.call(address, method, signal, create(method.input, input)),
            stream: () => Promise.reject(new Error("not supported")),
        };
    }

    private call<I extends DescMessage, O extends DescMessage>(
        address: Address,
        method: DescMethodUnary<I, O>,
        signal: AbortSignal | undefined,
        input: MessageShape<I>,
    ): Promise<UnaryResponse<I, O>> {
        const label = this.newLabel(method.name);
        const target = this.processes.resolveAddress(address).processIndex;
        const route = `${this.name}>${target}`;
        return new Promise((resolve, reject) => {
            let hasEnded = false;
            let reply: PendingAction | undefined;
            const end = (content: string): void => {
                hasEnded = true;
                this.processes.recordReply(this.index, content);
            };
            signal?.addEventListener("abort", () => {
                end(`!${route} ${method.name} timed out`);
                this.processes.pending.delete(reply!);
                reject(new ConnectError("timed out", Code.DeadlineExceeded));
            });
            const respond = (message: MessageShape<O>): void => {
                if (!this.isAlive || hasEnded) {
                    return;
                }
                const content = `!${route} ${method.name} ${describeMessage(method.output, message)}`;
                const details = { processIndex: this.index, label: `${label}!`, content, isTimer: false };
                reply = this.add(details, () => {
                    end(content);
                    resolve(unaryResponse(method, message));
                });
            };
            const content = `${route} ${method.name} ${describeMessage(method.input, input)}`;
            const details = { processIndex: target, label: `>${label}`, content, isTimer: false };
            this.add(details, () => void this.serve(address, method, input).then(respond));
        });
    }

    private async serve<I extends DescMessage, O extends DescMessage>(
        address: Address,
        method: DescMethodUnary<I, O>,
        input: MessageShape<I>,
    ): Promise<MessageShape<O>> {
        const { service } = this.processes.resolveAddress(address);
        const handler =
            (service.implementation as unknown as Readonly<Record<string, Handler>>)[method.localName]!;
        const context = createHandlerContext({
            service: method.parent,
            method,
            protocolName: "controlled",
            requestMethod: "POST",
            url: "http://controlled",
        });
        return await handler(input, context) as MessageShape<O>;
    }
}
