/**
 * Error classes that all packages share.
 *
 * @packageDocumentation
 */

import ModernError from "modern-errors";

/** Base of every error that the system raises on purpose. */
export const MagnolialockError = ModernError.subclass("MagnolialockError");

/** Settings from flags or environment variables are missing or wrong. */
export const SettingsError = MagnolialockError.subclass("SettingsError");

/** A wait or a call was given up by its owner. */
export const AbortedError = MagnolialockError.subclass("AbortedError");

/** A peer, backend server or platform service could not be reached. */
export const UnreachableError = MagnolialockError.subclass("UnreachableError");

/** A message from outside broke its protocol. */
export const ProtocolError = MagnolialockError.subclass("ProtocolError");

/** A plug-in registry was used wrongly. */
export const PluginError = MagnolialockError.subclass("PluginError");

/**
 * Tells whether an error means that its owner gave up, rather than that something failed.
 *
 * @param error - any thrown value
 * @returns true for an abort
 */
export const isAborted = (error: unknown): boolean =>
    error instanceof AbortedError || (error instanceof Error && error.name === "AbortError");

/**
 * Gives the message of any thrown value.
 *
 * @param error - any thrown value
 * @returns a one-line description
 */
export const errorMessage = (error: unknown): string =>
    error instanceof Error ? error.message : String(error);
