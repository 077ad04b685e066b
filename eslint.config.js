// Standard style for the whole workspace: the linter is also the formatter (`npm run format`).
import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'results/**', 'target/**'] }),
  {
    rules: {
      '@stylistic/max-len': ['error', { code: 160, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }],
      'no-void': ['error', { allowAsStatement: true }]
    }
  },
  { files: ['**/src/test/**'], rules: { 'no-unused-expressions': 'off', '@typescript-eslint/no-unused-expressions': 'off' } }
]
