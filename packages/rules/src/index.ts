/**
 * The rule file: one rule per line, each with a comment that names who requested it.
 *
 * @packageDocumentation
 */

import "./shared/kinds/dataCentreKind.ts";
import "./shared/kinds/serviceKind.ts";
import "./shared/kinds/serverKind.ts";
import "./shared/kinds/accountKind.ts";
import "./shared/kinds/callKind.ts";
import "./shared/kinds/groupKind.ts";
import "./shared/kinds/outKind.ts";
import "./shared/kinds/drainKind.ts";
import "./shared/kinds/platformKind.ts";

export * from "./shared/decodeLines.ts";
export * from "./shared/fields.ts";
export * from "./shared/findCallRule.ts";
export * from "./shared/parseRules.ts";
export * from "./shared/ruleKind.ts";
export * from "./types/definable.ts";
export * from "./types/ruleSet.ts";
