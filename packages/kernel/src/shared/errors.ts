/**
 * Error classes that all packages share.
 *
 * @packageDocumentation
 */

import ModernError from "modern-errors";

/** Base class of the errors that the system throws deliberately. */
export const MagnolialockError = ModernError.subclass("MagnolialockError");

/** Settings from flags or environment variables are missing or invalid. */
export const SettingsError = MagnolialockError.subclass("SettingsError");

/** A wait or a call was aborted by its owner. */
export const AbortedError = MagnolialockError.subclass("AbortedError");

/** A peer, backend server or platform service could not be reached. */
export const UnreachableError = MagnolialockError.subclass("UnreachableError");

/** A message from outside violated its protocol. */
export const ProtocolError = MagnolialockError.subclass("ProtocolError");

/** A plug-in registry or the event catalogue was used incorrectly. */
export const PluginError = MagnolialockError.subclass("PluginError");

/**
 * Tells whether an error means that the operation was aborted by its owner, rather than that it failed.
 *
 * @param error - any thrown value
 * @returns true for an abort
 */
export const isAborted = (error: unknown): boolean =>
    error instanceof AbortedError || (error instanceof Error && error.name === "AbortError");

/**
 * Returns the message of any thrown value.
 *
 * @param error - any thrown value
 * @returns a one-line description
 */
export const errorMessage = (error: unknown): string =>
    error instanceof Error ? error.message : String(error);
