/** The modules of undici that `undiciSubset.ts` bundles; the package has types only for its main module. */
declare module "undici/lib/*";
