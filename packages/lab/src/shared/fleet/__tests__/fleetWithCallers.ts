import { createRandomSource } from "@magnolialock/kernel";
import type { CallKind, CallRecord } from "../../load/callRecord.ts";
import { sendCall } from "../../load/sendCall.ts";
import { countSafetyViolations, observeStarts, type SafetyCounts } from "../../oracle/safetyCounts.ts";
import { type FleetShape, LETREIRO_SHAPE } from "../fleetRules.ts";
import { VirtualFleet } from "../virtualFleet.ts";

/** A virtual fleet with callers that check their answers. */
export class FleetWithCallers {
    public readonly records: CallRecord[] = [];
    private readonly random = createRandomSource(1);

    private constructor(public readonly fleet: VirtualFleet, private readonly shape: FleetShape) {}

    public static async start(seed: number, shape = LETREIRO_SHAPE): Promise<FleetWithCallers> {
        const fleet = await VirtualFleet.start({ shape, seed });
        await fleet.clock.advance(3_000);
        return new FleetWithCallers(fleet, shape);
    }

    public send(
        entry: string,
        kind: CallKind,
        options: { tokens?: number; timeoutMs?: number; } = {},
    ): CallRecord {
        const requestId = `${kind}-${this.records.length + 1}`;
        const { record } = sendCall(this.fleet, this.shape, entry, {
            requestId,
            kind,
            account: "loja-1",
            dataCentre: entry.split("-")[1] ?? "",
            prompt: `prompt of ${requestId}`,
            tokens: options.tokens ?? 40,
            timeoutMs: options.timeoutMs ?? (kind === "draft" ? 20_000 : 5_000),
        });
        this.records.push(record);
        return record;
    }

    public anyEntry(): string {
        const names = [...this.fleet.entries.values()].filter(({ entry }) => entry.isReady).map(({ name }) =>
            name
        );
        return names[this.random.nextInt(0, names.length - 1)] as string;
    }

    public get starts(): ReturnType<typeof observeStarts> {
        return observeStarts(this.fleet, this.shape);
    }

    public get safety(): SafetyCounts {
        return countSafetyViolations(this.records, this.starts);
    }
}
