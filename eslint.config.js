import gts from 'gts';
import tseslint from 'typescript-eslint';

export default tseslint.config(
  {
    ignores: [
      '**/lib/**',
      'target/**',
      '**/node_modules/**',
      'scripts/**',
      '**/bin/*.js',
      '*.js',
    ],
  },
  ...gts,
  {
    files: ['**/*.ts'],
    languageOptions: {
      parserOptions: {
        project: null,
        projectService: true,
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      // Restify and the stand-ins end processes only in bin files.
      'n/no-process-exit': 'off',
      'n/no-unpublished-import': 'off',
      'n/no-extraneous-import': 'off',
      'n/no-missing-import': 'off',
      'n/hashbang': 'off',
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
      ],
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
    },
  },
);
