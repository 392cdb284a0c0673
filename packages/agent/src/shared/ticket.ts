/**
 * Tickets, each of which binds a non-repeatable request to one incarnation of one agent.
 *
 * @packageDocumentation
 */

import { type BackendServerId, branded, type IncarnationId, type Runtime } from "@magnolialock/kernel";
import { createIncarnationId } from "./incarnation.ts";

/** Fields of a ticket. */
export interface Ticket {
    /** Backend server that may run the request. */
    readonly server: BackendServerId;
    /** Incarnation of the agent that may run it. */
    readonly incarnation: IncarnationId;
    /** Name and incarnation of the process that issued the ticket. */
    readonly issuer: string;
    /** Sequence number among the tickets of the issuer, from 1. */
    readonly counter: number;
}

const MAX_INSTANCE_CHARACTERS = 48;
const TICKET_PATTERN = /^t2\.([a-z0-9-]+)\.([A-Za-z0-9-]+)\.([A-Za-z0-9-]{1,80})\.([1-9][0-9]{0,14})$/;

/**
 * Formats a ticket.
 *
 * @param ticket - fields of the ticket
 * @returns the ticket as text
 */
export const formatTicket = (ticket: Ticket): string =>
    `t2.${ticket.server}.${ticket.incarnation}.${ticket.issuer}.${ticket.counter}`;

/**
 * Parses a ticket.
 *
 * @param text - the ticket as text
 * @returns its fields, or undefined if it is malformed
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

/** Issues tickets with increasing counters, so that agents can forget old tickets below a low-water mark. */
export class TicketIssuer {
    private readonly issuer: string;
    private counter = 0;

    /**
     * @param runtime - clock and random numbers that make the issuer's name unique
     * @param instance - name of the instance
     */
    public constructor(runtime: Runtime, instance: string) {
        const name = instance.replace(/[^A-Za-z0-9-]/g, "-").slice(0, MAX_INSTANCE_CHARACTERS);
        this.issuer = `${name}-${createIncarnationId(runtime)}`;
    }

    /**
     * Issues the next ticket.
     *
     * @param server - backend server that may run the request
     * @param incarnation - incarnation of the agent that may run it
     * @returns the ticket as text
     */
    public issue(server: BackendServerId, incarnation: IncarnationId): string {
        this.counter++;
        return formatTicket({ server, incarnation, issuer: this.issuer, counter: this.counter });
    }
}
