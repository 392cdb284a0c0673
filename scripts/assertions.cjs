/**
 * `node:assert` for the bundled programs. An assertion of Node.js that fails without a message reads the expression from the
 * source file and parses it; in a minified file of one megabyte on a few lines this blocks the process for about five seconds.
 * Here the error names no expression; its stack tells the place.
 */

"use strict";

// eslint-disable-next-line @typescript-eslint/no-require-imports -- libraries call the module itself, which ES modules cannot offer
const assert = require("node:assert");

const check = (value, message) => {
    if (value) {
        return;
    }
    if (message instanceof Error) {
        throw message;
    }
    throw new assert.AssertionError({
        message: message ?? "an assertion failed",
        actual: value,
        expected: true,
        operator: "==",
        stackStartFn: check,
    });
};

module.exports = Object.assign((value, message) => check(value, message), assert, { ok: check });
module.exports.strict = Object.assign((value, message) => check(value, message), assert.strict, { ok: check });
