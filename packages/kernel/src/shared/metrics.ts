/**
 * Interface to metrics. Real processes send them to StatsD.
 *
 * @packageDocumentation
 */

/** Labels of a metric. */
export type MetricTags = Readonly<Record<string, string>>;

/** Receives measurements. */
export interface Metrics {
    /** Adds to a counter. */
    increment(name: string, value?: number, tags?: MetricTags): void;
    /** Sets a gauge. */
    gauge(name: string, value: number, tags?: MetricTags): void;
    /** Records a duration in milliseconds. */
    timing(name: string, valueMs: number, tags?: MetricTags): void;
}

/** Metrics that discard all measurements. */
export const noMetrics: Metrics = { increment: () => {}, gauge: () => {}, timing: () => {} };
