/**
 * Decoding of what other processes of the system answer: the published state of an instance, and the group that a
 * rank agent names. A process of another release, or one whose memory is damaged, must not harm this one.
 *
 * @packageDocumentation
 */

import { branded, ProtocolError, type Revision, type StoreEra } from "@magnolialock/kernel";
import * as z from "zod/mini";
import type { PublishedState } from "../types/publishedState.ts";
import type { ServerGroup } from "./groupDirectory.ts";

const revision = z.pipe(z.int().check(z.nonnegative()), z.transform(value => branded<Revision>(value)));
const era = z.pipe(z.int().check(z.nonnegative()), z.transform(value => branded<StoreEra>(value)));
const key = z.string();

const stateSchema = z.object({
    era: z.optional(era),
    revision,
    // Instances of earlier releases name no era for an item, and nothing of what follows the items.
    items: z.array(z.object({ key, text: z.string(), revision, era: z.optional(era) })),
    removed: z._default(z.array(z.object({ key, revision, era })), []),
    missing: z._default(z.array(key), []),
    history: z._default(
        z.array(z.object({ key, writes: z.array(z.tuple([z.number(), z.number()])) })),
        [],
    ),
    revisionBeforeReturn: z._default(revision, branded<Revision>(0)),
    ageMs: z._default(z.number().check(z.nonnegative()), 0),
    leaving: z._default(z.array(z.int().check(z.nonnegative(), z.maximum(0xff_ff_ff_ff))), []),
});

const groupSchema = z.object({
    name: z.optional(z.string().check(z.minLength(1))),
    isOpen: z.boolean(),
    epoch: z.optional(z.number()),
});

const decode = <T extends z.core.$ZodType>(what: string, schema: T, json: unknown): z.output<T> => {
    const result = z.safeParse(schema, json);
    if (!result.success) {
        const [issue] = result.error.issues;
        throw new ProtocolError(`${what} cannot be read: ${issue?.path.join(".")}: ${issue?.message}`);
    }
    return result.data;
};

/**
 * Decodes the published state that another instance hands on.
 *
 * @param json - its answer
 * @param ownEra - era that stands for one that is not named
 * @throws ProtocolError that names the first field that cannot be read
 */
export const decodePublishedState = (json: unknown, ownEra: StoreEra): PublishedState => {
    const state = decode("the state of another instance", stateSchema, json);
    const stateEra = state.era ?? ownEra;
    return {
        ...state,
        era: stateEra,
        items: state.items.map(item => ({ ...item, era: item.era ?? stateEra })),
    };
};

/**
 * Decodes the group of a server that its rank agent names.
 *
 * @param json - the agent's answer
 * @throws ProtocolError that names the first field that cannot be read
 */
export const decodeServerGroup = (json: unknown): ServerGroup => {
    const { epoch, isOpen, name } = decode("the group of a server", groupSchema, json);
    return { name, isOpen, epoch };
};
