import { defineConfig, globalIgnores } from 'eslint/config'
import prettier from 'eslint-config-prettier'
import tseslint from 'typescript-eslint'

/** Modules that would let a product process start another one. */
const processStarters = ['child_process', 'cluster', 'worker_threads'].flatMap((name) => [
  name,
  `node:${name}`,
])

export default defineConfig(
  globalIgnores(['**/dist/', '**/gen/', 'target/']),
  tseslint.configs.strict,
  tseslint.configs.stylistic,
  prettier,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: {
      parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname },
    },
    rules: {
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': 'error',
      '@typescript-eslint/consistent-type-imports': 'error',
      'max-lines': ['error', { max: 450 }],
      complexity: ['error', 15],
    },
  },
  {
    // describe and it of node:test return promises that the runner awaits.
    files: ['**/__tests__/**/*.ts'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
  {
    // Only the test tools of packages/scenario may start processes.
    files: [
      'packages/{wagtailway,protocol,gateway,router,ctl,standins}/src/**/*.ts',
      'platform/src/**/*.ts',
    ],
    ignores: ['**/__tests__/**'],
    rules: { 'no-restricted-imports': ['error', ...processStarters] },
  },
)
