/**
 * Process whose messages and timers happen only when a search chooses them.
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

/** Something that can happen to a process. */
export interface PendingAction {
    /** Process that it happens to. */
    readonly processIndex: number;
    /** Name that is the same in every order of actions. */
    readonly label: string;
    /** What it brings, apart from its place in an order. */
    readonly content: string;
    /** Whether it is a timer rather than a message. */
    readonly isTimer: boolean;
    /** Makes it happen. */
    readonly run: () => void;
}

/** All processes and what is on its way between them. */
export interface ControlledProcesses {
    /** What can happen next. */
    readonly pending: Set<PendingAction>;
    /**
     * Finds who answers at an address.
     *
     * @param address - the address
     * @returns the index of the process and its service
     */
    answererAt(address: Address): { readonly processIndex: number; readonly service: ServiceBinding; };
    /**
     * Notes that a call of a process ended.
     *
     * @param processIndex - the process
     * @param content - the answer, or that there is none
     */
    recordAnswer(processIndex: number, content: string): void;
}

type Handler = (input: unknown, context: unknown) => Promise<unknown>;

/** Gives what a message says, without the content of maps. */
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

/** One life of a process; after its end nothing reaches it. */
export class ControlledProcess {
    /** Surroundings of the tasks. */
    public readonly runtime: Runtime;
    private isAlive = true;
    private nextNumber = 0;

    /**
     * @param processes - all processes
     * @param index - index of this process
     * @param life - number of its life
     */
    public constructor(
        private readonly processes: ControlledProcesses,
        private readonly index: number,
        private readonly life: number,
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

    /** Ends the process. What it sent stays on its way. */
    public kill(): void {
        this.isAlive = false;
        for (const action of this.processes.pending) {
            if (action.processIndex === this.index && action.label.startsWith(`${this.name}:`)) {
                this.processes.pending.delete(action);
            }
        }
    }

    private get name(): string {
        return `${this.index}.${this.life}`;
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
            listen: () => Promise.reject(new Error("not used")),
            openDatagramSocket: () => Promise.reject(new Error("not used")),
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
            stream: () => Promise.reject(new Error("not used")),
        };
    }

    private call<I extends DescMessage, O extends DescMessage>(
        address: Address,
        method: DescMethodUnary<I, O>,
        signal: AbortSignal | undefined,
        input: MessageShape<I>,
    ): Promise<UnaryResponse<I, O>> {
        const label = this.newLabel(method.name);
        const target = this.processes.answererAt(address).processIndex;
        const route = `${this.name}>${target}`;
        return new Promise((resolve, reject) => {
            let isOver = false;
            let answer: PendingAction | undefined;
            const end = (content: string): void => {
                isOver = true;
                this.processes.recordAnswer(this.index, content);
            };
            signal?.addEventListener("abort", () => {
                end(`!${route} ${method.name} timed out`);
                this.processes.pending.delete(answer!);
                reject(new ConnectError("timed out", Code.DeadlineExceeded));
            });
            const respond = (message: MessageShape<O>): void => {
                if (!this.isAlive || isOver) {
                    return;
                }
                const content = `!${route} ${method.name} ${describeMessage(method.output, message)}`;
                const details = { processIndex: this.index, label: `${label}!`, content, isTimer: false };
                answer = this.add(details, () => {
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
        const { service } = this.processes.answererAt(address);
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
