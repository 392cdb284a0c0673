export default {
    files: ["packages/**/__tests__/**/*.spec.ts", "platform/__tests__/**/*.spec.ts"],
    extensions: { ts: "module" },
    nodeArguments: ["--import=tsx"],
    workerThreads: false,
    concurrency: 5,
    timeout: "10m",
};
