import tsdoc from "eslint-plugin-tsdoc";
import ts from "typescript-eslint";

export default ts.config(
    { ignores: ["dist/", "node_modules/", "target/"] },
    ...ts.configs.strict,
    {
        files: ["**/*.ts"],
        plugins: { tsdoc },
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "tsdoc/syntax": "error",
            curly: "error",
            eqeqeq: "error",
            "no-console": "error",
            "one-var": ["error", "never"],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": ["error", { checksVoidReturn: false }],
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^unused", varsIgnorePattern: "^unused" }],
        },
    },
);
