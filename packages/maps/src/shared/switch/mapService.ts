/**
 * Service of a member of a group for the calls of the other members.
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
    /** Hash of the members' names. */
    readonly roster: string;
    /** Maps that the process holds. */
    readonly library: MapLibrary;
}

/**
 * Creates the service.
 *
 * @param options - member, roster and maps
 * @returns the binding to listen with
 */
export const createMapService = ({ member, roster, library }: MapServiceOptions): ServiceBinding => {
    const answer = async (
        theirRoster: string,
        call: () => Promise<MemberReply>,
        knownIds: readonly string[] = library.ids(),
    ) => {
        const reply = theirRoster === roster
            ? await call()
            : { ...await member.report(), refusal: "other-roster" as const };
        for (const activation of [...reply.decided, ...(reply.armed ? [reply.armed] : [])]) {
            library.add(activation.map);
        }
        return encodeReply(reply, knownIds);
    };
    return bindService(MapService, {
        prepare: request =>
            answer(request.roster, () => member.prepare(Number(request.epoch)), request.knownMapIds),
        settle: request =>
            answer(request.roster, () =>
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
            return answer(request.roster, () => member.arm(decodeActivation(activation, library)));
        },
        commit: request => answer(request.roster, () => member.commit(Number(request.epoch))),
        abort: request => answer(request.roster, () => member.abort(Number(request.epoch))),
        getStatus: request => answer(request.roster, () => member.report(), request.knownMapIds),
    });
};
