/**
 * Tickets bind a request that may not be repeated to one life of one agent.
 *
 * @packageDocumentation
 */

import { type BackendServerId, branded, type IncarnationId, type Runtime } from "@magnolialock/kernel";
import { newIncarnation } from "./incarnation.ts";

/** Contents of a ticket. */
export interface Ticket {
    /** Backend server that may run the request. */
    readonly server: BackendServerId;
    /** Life of the agent that may run it. */
    readonly incarnation: IncarnationId;
    /** Life of the process that minted the ticket. */
    readonly issuer: string;
    /** Number of the ticket among those of its issuer, from 1. */
    readonly counter: number;
}

const MAX_INSTANCE_CHARACTERS = 48;
const TICKET_PATTERN = /^t2\.([a-z0-9-]+)\.([A-Za-z0-9-]+)\.([A-Za-z0-9-]{1,80})\.([1-9][0-9]{0,14})$/;

/**
 * Writes a ticket.
 *
 * @param ticket - its contents
 * @returns its text
 */
export const formatTicket = (ticket: Ticket): string =>
    `t2.${ticket.server}.${ticket.incarnation}.${ticket.issuer}.${ticket.counter}`;

/**
 * Reads a ticket.
 *
 * @param text - its text
 * @returns its contents, or undefined when it is malformed
 */
export const parseTicket = (text: string): Ticket | undefined => {
    const parts = TICKET_PATTERN.exec(text);
    if (!parts) {
        return undefined;
    }
    const [, server = "", incarnation = "", issuer = "", counter = ""] = parts;
    return {
        server: branded<BackendServerId>(server),
        incarnation: branded<IncarnationId>(incarnation),
        issuer,
        counter: Number(counter),
    };
};

/** Mints tickets whose counters rise, so that agents can forget old ones by a low-water mark. */
export class TicketIssuer {
    private readonly issuer: string;
    private counter = 0;

    /**
     * @param runtime - clock and random numbers that make the issuer unique
     * @param instance - name of the process
     */
    public constructor(runtime: Runtime, instance: string) {
        const name = instance.replace(/[^A-Za-z0-9-]/g, "-").slice(0, MAX_INSTANCE_CHARACTERS);
        this.issuer = `${name}-${newIncarnation(runtime)}`;
    }

    /**
     * Mints a ticket.
     *
     * @param server - backend server that may run the request
     * @param incarnation - life of the agent that may run it
     * @returns the text of the ticket
     */
    public mint(server: BackendServerId, incarnation: IncarnationId): string {
        this.counter++;
        return formatTicket({ server, incarnation, issuer: this.issuer, counter: this.counter });
    }
}
