/**
 * Loads all steps; each registers itself.
 *
 * @packageDocumentation
 */

import "./settingSteps.ts";
import "./operatorSteps.ts";
import "./processSteps.ts";
import "./backendSteps.ts";
import "./networkSteps.ts";
import "./platformSteps.ts";
import "./requestSteps.ts";
import "./expectationSteps.ts";
