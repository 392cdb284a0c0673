/**
 * Structured log events with unique numbers. Every process logs through one {@link EventLog}; the definitions
 * form the event catalogue in the docs.
 *
 * @packageDocumentation
 */

import Denque from "denque";
import type { Clock } from "./clock.ts";
import { PluginError } from "./errors.ts";
import { HybridClock, type HybridTime } from "./hybridClock.ts";
import { type Plugin, PluginRegistry } from "./plugins.ts";

/** Severity of an event. */
export type EventLevel = "debug" | "info" | "warning" | "error";

/** Fields that an event carries. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Definition of one kind of event. */
export interface EventDefinition {
    /** Number, unique across all packages. */
    readonly number: number;
    /** Dotted name, `part.subject.verb`. */
    readonly name: string;
    /** Severity. */
    readonly level: EventLevel;
    /** One sentence for the catalogue. */
    readonly summary: string;
}

/** One logged event. */
export interface EventRecord {
    /** Kind of event. */
    readonly definition: EventDefinition;
    /** Hybrid logical time of the event; causally ordered across all processes. */
    readonly time: HybridTime;
    /** Process that logged it. */
    readonly instance: string;
    /** Details of the event. */
    readonly fields: EventFields;
}

/** Receives every event of a process. */
export interface EventSink extends Plugin {
    /**
     * Writes one event.
     *
     * @param record - the event
     */
    write(record: EventRecord): void;
}

const catalogue = new Map<number, EventDefinition>();

/**
 * Defines a kind of event and adds it to the catalogue.
 *
 * @param definition - number, name, level and summary
 * @returns the definition
 * @throws PluginError when the number is already in use
 */
export const defineEvent = (definition: EventDefinition): EventDefinition => {
    if (catalogue.has(definition.number)) {
        throw new PluginError(`event number ${definition.number} is defined twice`);
    }
    catalogue.set(definition.number, definition);
    return definition;
};

/**
 * Lists the event catalogue.
 *
 * @returns all definitions, sorted by number
 */
export const eventCatalogue = (): EventDefinition[] =>
    [...catalogue.values()].sort((left, right) => left.number - right.number);

/** Registry of the event sinks that a process can be configured to use. */
export const eventSinks = new PluginRegistry<EventSink>("event sink");

/** Options of an {@link EventLog}. */
export interface EventLogOptions {
    /** Source of time. */
    readonly clock: Clock;
    /** Name of the process. */
    readonly instance: string;
    /** Sinks that receive every event, in addition to the in-memory buffer. */
    readonly sinks?: readonly EventSink[];
    /** Number of events that the in-memory buffer keeps. */
    readonly capacity?: number;
}

const DEFAULT_EVENT_CAPACITY = 4_000;

/** Event log of one process: a bounded in-memory buffer, which the time line is read from, and sinks. */
export class EventLog {
    /** Clock that orders events across processes. */
    public readonly hybridClock: HybridClock;
    private readonly records = new Denque<EventRecord>();
    private readonly listeners = new Set<(record: EventRecord) => void>();
    private readonly instance: string;
    private readonly sinks: readonly EventSink[];
    private readonly capacity: number;

    /** @param options - clock, name, sinks and capacity */
    public constructor(options: EventLogOptions) {
        this.hybridClock = new HybridClock(options.clock);
        this.instance = options.instance;
        this.sinks = options.sinks ?? [];
        this.capacity = options.capacity ?? DEFAULT_EVENT_CAPACITY;
    }

    /**
     * Logs an event.
     *
     * @param definition - kind of event
     * @param fields - details; field names end with the unit of their value
     */
    public emit(definition: EventDefinition, fields: EventFields = {}): void {
        const record: EventRecord = {
            definition,
            time: this.hybridClock.tick(),
            instance: this.instance,
            fields,
        };
        this.records.push(record);
        if (this.records.length > this.capacity) {
            this.records.shift();
        }
        for (const sink of this.sinks) {
            sink.write(record);
        }
        for (const listener of this.listeners) {
            listener(record);
        }
    }

    /**
     * Calls a listener for each new event.
     *
     * @param listener - called synchronously with the event
     * @returns the subscription; disposing it removes the listener
     */
    public subscribe(listener: (record: EventRecord) => void): Disposable {
        this.listeners.add(listener);
        return { [Symbol.dispose]: () => void this.listeners.delete(listener) };
    }

    /** Events that the in-memory buffer still holds, oldest first. */
    public recent(): EventRecord[] {
        return this.records.toArray();
    }
}
