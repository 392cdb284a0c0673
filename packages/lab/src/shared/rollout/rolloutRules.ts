/**
 * Rule files of up to a megabyte for rollout experiments.
 *
 * @packageDocumentation
 */

import { MAX_RULES_BYTES } from "@magnolialock/rules";
import { createHash } from "node:crypto";

/** A process of a rollout experiment. */
export interface RolloutNode {
    /** Its name. */
    readonly name: string;
    /** What it runs. */
    readonly role: "entry" | "agent";
    /** Its data centre. */
    readonly dataCentre: string;
    /** Its address. */
    readonly address: string;
}

/** Share of entries among the nodes: 400 of 1,000. */
const ENTRY_SHARE = 0.4;
/** Room that is left for changes, in bytes. */
const CHANGE_ROOM_BYTES = 2_048;

/**
 * Lists the processes of a fleet, spread over its data centres.
 *
 * @param nodes - how many
 * @param dataCentres - how many data centres
 * @returns the processes
 */
export const rolloutNodes = (nodes: number, dataCentres: number): RolloutNode[] =>
    Array.from({ length: nodes }, (_, index) => {
        const slot = Math.floor(index / dataCentres);
        const isEntry = Math.floor((slot + 1) * ENTRY_SHARE) > Math.floor(slot * ENTRY_SHARE);
        const role = isEntry ? "entry" : "agent";
        const dataCentre = `dc-${index % dataCentres + 1}`;
        return {
            role,
            dataCentre,
            name: `${role}-${dataCentre}-${slot + 1}`,
            address: `10.${index % dataCentres}.${Math.floor(slot / 250)}.${slot % 250 + 1}:7000`,
        };
    });

const accountLine = (index: number, rate: number): string => {
    const key = createHash("sha256").update(`account-${index}`).digest("hex");
    return `account account-${index} key=sha256:${key} rate=${rate}/s burst=${rate} weight=1 `
        + `# asked for by the office of account ${index}\n`;
};

/** Writes versions of one large rule file. */
export class RolloutRules {
    private readonly head: string;
    private readonly accounts: string[] = [];

    /**
     * @param nodes - processes; agents get a rule each
     * @param sizeBytes - wanted size of the file, in bytes
     */
    public constructor(nodes: readonly RolloutNode[], sizeBytes: number = MAX_RULES_BYTES) {
        const dataCentres = [...new Set(nodes.map(({ dataCentre }) => dataCentre))];
        this.head = [
            ...dataCentres.map(name => `data-centre ${name} region=nordeste`),
            "service redator kind=model deadline=60s",
            ...nodes.filter(({ role }) => role === "agent").map(({ name, dataCentre, address }) =>
                `server ${name} service=redator data-centre=${dataCentre} agent=${address} cold=2 warm=16`
            ),
        ].map(line => `${line} # lab\n`).join("");
        let size = this.head.length;
        for (let index = 1; size < sizeBytes - CHANGE_ROOM_BYTES; index++) {
            const line = accountLine(index, 100);
            this.accounts.push(line);
            size += line.length;
        }
    }

    /**
     * Writes a version that differs from the others by one line.
     *
     * @param version - number of the version
     * @returns the file
     */
    public version(version: number): Uint8Array {
        const index = version * 7_919 % this.accounts.length;
        const lines = [...this.accounts];
        lines[index] = accountLine(index + 1, 100 + version);
        return Buffer.from(this.head + lines.join(""));
    }

    /** Writes a version with a mistake in it. */
    public broken(): Uint8Array {
        return Buffer.from(`${this.head + this.accounts.join("")}acount typo rate=1/s # ana\n`);
    }
}
