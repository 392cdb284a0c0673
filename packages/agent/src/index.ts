/** Placeholder. @packageDocumentation */
export {};
