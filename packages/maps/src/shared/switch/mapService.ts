/**
 * RPC service of a group member for the calls of the other members.
 *
 * @packageDocumentation
 */

import { Code, ConnectError } from "@connectrpc/connect";
import { bindService, type ServiceBinding } from "@magnolialock/kernel";
import { MapService } from "@magnolialock/protocol";
import type { MapMember } from "./mapMember.ts";
import { decodeActivation, encodeReply, type MapLibrary } from "./memberCodec.ts";
import type { MemberReply } from "./memberReply.ts";

/** Options of {@link createMapService}. */
export interface MapServiceOptions {
    /** The member. */
    readonly member: MapMember;
    /** Hash of the members' addresses, with which members detect peers of another configuration. */
    readonly roster: string;
    /** Cache of maps of the process. */
    readonly library: MapLibrary;
}

/**
 * Creates the service.
 *
 * @param options - member, roster and map cache
 * @returns service binding for the listener
 */
export const createMapService = ({ member, roster, library }: MapServiceOptions): ServiceBinding => {
    const handle = async (
        callerRoster: string,
        call: () => Promise<MemberReply>,
        knownIds: readonly string[] = library.ids(),
    ) => {
        const reply = callerRoster === roster
            ? await call()
            : { ...await member.report(), refusal: "other-roster" as const };
        for (const activation of [...reply.decided, ...(reply.armed ? [reply.armed] : [])]) {
            library.add(activation.map);
        }
        return encodeReply(reply, knownIds);
    };
    return bindService(MapService, {
        prepare: request =>
            handle(request.roster, () => member.prepare(Number(request.epoch)), request.knownMapIds),
        settle: request =>
            handle(request.roster, () =>
                member.settle({
                    epoch: Number(request.epoch),
                    decided: request.decided.map(message => decodeActivation(message, library)),
                    step: Number(request.step),
                    incarnation: request.incarnation,
                    engineIncarnation: request.engineIncarnation,
                })),
        arm: request => {
            const { activation } = request;
            if (!activation) {
                throw new ConnectError("the activation is missing", Code.InvalidArgument);
            }
            return handle(request.roster, () => member.arm(decodeActivation(activation, library)));
        },
        commit: request => handle(request.roster, () => member.commit(Number(request.epoch))),
        abort: request => handle(request.roster, () => member.abort(Number(request.epoch))),
        getStatus: request => handle(request.roster, () => member.report(), request.knownMapIds),
    });
};
