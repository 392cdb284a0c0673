/**
 * Nodes and rule files of up to one megabyte for rollout experiments.
 *
 * @packageDocumentation
 */

import { MAX_RULES_BYTES } from "@magnolialock/rules";
import { createHash } from "node:crypto";

/** A node of a rollout experiment. */
export interface RolloutNode {
    /** Name of the node. */
    readonly name: string;
    /** Role of its process. */
    readonly role: "entry" | "agent";
    /** Data centre of the node. */
    readonly dataCentre: string;
    /** Address of its process. */
    readonly address: string;
}

/** Share of entries among the nodes: 400 of 1,000. */
const ENTRY_RATIO = 0.4;
/** Bytes below the wanted size that stay free, so that changed and invalid versions also fit. */
const RESERVED_BYTES = 2_048;

/**
 * Creates the nodes of a fleet, spread evenly over its data centres.
 *
 * @param nodes - number of nodes
 * @param dataCentres - number of data centres
 * @returns the nodes
 */
export const createRolloutNodes = (nodes: number, dataCentres: number): RolloutNode[] =>
    Array.from({ length: nodes }, (_, index) => {
        const indexInDataCentre = Math.floor(index / dataCentres);
        const isEntry =
            Math.floor((indexInDataCentre + 1) * ENTRY_RATIO) > Math.floor(indexInDataCentre * ENTRY_RATIO);
        const role = isEntry ? "entry" : "agent";
        const dataCentre = `dc-${index % dataCentres + 1}`;
        return {
            role,
            dataCentre,
            name: `${role}-${dataCentre}-${indexInDataCentre + 1}`,
            address: `10.${index % dataCentres}.${Math.floor(indexInDataCentre / 250)}.${
                indexInDataCentre % 250 + 1
            }:7000`,
        };
    });

const formatAccountRule = (index: number, rate: number): string => {
    const key = createHash("sha256").update(`account-${index}`).digest("hex");
    return `account account-${index} key=sha256:${key} rate=${rate}/s burst=${rate} weight=1 `
        + `# asked for by the office of account ${index}\n`;
};

/** Generates versions of one large rule file. */
export class RolloutRules {
    private readonly otherRules: string;
    private readonly accountRules: string[] = [];

    /**
     * @param nodes - nodes of the fleet; the file has a `server` rule for each agent
     * @param sizeBytes - approximate size of the file, in bytes
     */
    public constructor(nodes: readonly RolloutNode[], sizeBytes: number = MAX_RULES_BYTES) {
        const dataCentres = [...new Set(nodes.map(({ dataCentre }) => dataCentre))];
        this.otherRules = [
            ...dataCentres.map(name => `data-centre ${name} region=nordeste`),
            "service redator kind=model deadline=60s",
            ...nodes.filter(({ role }) => role === "agent").map(({ name, dataCentre, address }) =>
                `server ${name} service=redator data-centre=${dataCentre} agent=${address} cold=2 warm=16`
            ),
        ].map(line => `${line} # lab\n`).join("");
        let size = this.otherRules.length;
        for (let index = 1; size < sizeBytes - RESERVED_BYTES; index++) {
            const line = formatAccountRule(index, 100);
            this.accountRules.push(line);
            size += line.length;
        }
    }

    /**
     * Generates a version of the file in which one `account` rule is changed.
     *
     * @param version - number of the version
     * @returns contents of the file
     */
    public version(version: number): Uint8Array {
        const index = version * 7_919 % this.accountRules.length;
        const lines = [...this.accountRules];
        lines[index] = formatAccountRule(index + 1, 100 + version);
        return Buffer.from(this.otherRules + lines.join(""));
    }

    /** Generates an invalid version, with a misspelt rule in its last line. */
    public invalidVersion(): Uint8Array {
        return Buffer.from(`${this.otherRules + this.accountRules.join("")}acount typo rate=1/s # ana\n`);
    }
}
