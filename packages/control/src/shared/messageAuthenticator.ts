/**
 * Authentication of messages between processes by HMAC with the shared key from the settings.
 *
 * @packageDocumentation
 */

import { isFaultSeeded } from "@magnolialock/kernel";
import { createHmac, createSecretKey, timingSafeEqual } from "node:crypto";

/** A payload with an authentication tag, which proves that the sender knows the key. */
export interface AuthenticatedPayload {
    /** Encoded message. */
    readonly payload: Uint8Array;
    /** HMAC-SHA-256 tag of the payload. */
    readonly authentication: Uint8Array;
}

/** Signs and verifies messages with one key. */
export interface MessageAuthenticator {
    /**
     * Adds the authentication tag to a message.
     *
     * @param payload - encoded message
     * @returns the message with its tag
     */
    sign(payload: Uint8Array): AuthenticatedPayload;
    /**
     * Verifies the authentication tag of a message.
     *
     * @param signed - received message with its tag
     * @returns the encoded message; undefined if the tag is wrong
     */
    verify(signed: AuthenticatedPayload): Uint8Array | undefined;
}

/**
 * Creates the authenticator for a shared key.
 *
 * @param sharedKey - secret key; must be the same in every process of the fleet
 * @returns the authenticator
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
