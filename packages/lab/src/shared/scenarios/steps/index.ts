/**
 * Imports all modules that register steps.
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
