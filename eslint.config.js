import jsdoc from "eslint-plugin-jsdoc";
import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

export default tseslint.config(
    { ignores: ["**/gen/**", "**/dist/**", "**/node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        plugins: { jsdoc, tsdoc },
        rules: {
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 400, skipBlankLines: true, skipComments: true }],
            "max-lines-per-function": ["error", { max: 80, skipBlankLines: true, skipComments: true }],
            "no-restricted-syntax": [
                "error",
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
                { selector: "CallExpression[callee.name='setTimeout']", message: "Take time from Clock." },
                { selector: "CallExpression[callee.name='setInterval']", message: "Take time from Clock." },
                {
                    selector: "MemberExpression[object.name='Date'][property.name='now']",
                    message: "Take time from Clock.",
                },
                {
                    selector: "MemberExpression[object.name='Math'][property.name='random']",
                    message: "Take random numbers from RandomSource.",
                },
            ],
            "prefer-arrow-callback": "error",
            "prefer-const": "error",
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/switch-exhaustiveness-check": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
                { selector: "enumMember", format: ["PascalCase"] },
                { selector: "function", format: ["camelCase"] },
                { selector: "parameter", format: ["camelCase"], leadingUnderscore: "allow" },
            ],
            "tsdoc/syntax": "error",
            "jsdoc/require-jsdoc": [
                "error",
                {
                    publicOnly: true,
                    require: { ClassDeclaration: true, FunctionDeclaration: true, ArrowFunctionExpression: true },
                    contexts: ["TSInterfaceDeclaration", "TSTypeAliasDeclaration"],
                },
            ],
        },
    },
    {
        files: ["**/__tests__/**", "playground/**", "scripts/**"],
        rules: { "jsdoc/require-jsdoc": "off", "max-lines-per-function": "off" },
    },
    {
        files: ["packages/kernel/src/node/systemClock.ts", "playground/**", "scripts/**"],
        rules: { "no-restricted-syntax": "off" },
    },
);
