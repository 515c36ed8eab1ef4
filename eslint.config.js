import {createRequire} from 'node:module';

const gts = createRequire(import.meta.url)('gts');

/** What each folder of src may import; the order is that of docs/DESIGN.md. */
const FOLDERS = {
  kernel: [],
  model: [],
  decisions: ['model'],
  codecs: ['model'],
  services: ['kernel', 'model', 'decisions', 'codecs'],
  programs: ['kernel', 'model', 'decisions', 'codecs', 'services'],
};

const ALL = Object.keys(FOLDERS);

/** Decisions have no clock, socket, timer, file, random source or logger of their own. */
const IMPURE = [
  'node:net',
  'node:http',
  'node:fs',
  'node:timers',
  'node:perf_hooks',
  'pino',
  'undici',
  'h3',
  'pure-rand',
];

/** Names on the platform's wire; only platform/, its stand-ins and their tests may write them. */
const WIRE_NAMES =
  '^(x-(request-deadline|expected-instance|not-executed|response-seal|server-load|affinity-key|tenant|instance-id|cold-remaining)|/api/(rows-|blob-|resolution|readiness).*|SchemaVersion|ExpectedRevision|ColdRemaining)$';

function getRestrictions(folder) {
  const forbidden = ALL.filter(
    other => other !== folder && !FOLDERS[folder].includes(other),
  );
  const patterns = [];
  if (forbidden.length > 0)
    patterns.push({
      regex: `(\\.\\./)+(${forbidden.join('|')})/`,
      message: `src/${folder} may import only: ${FOLDERS[folder].join(', ') || 'nothing of ours'}`,
    });
  if (folder === 'decisions')
    patterns.push({
      group: IMPURE,
      message: 'decisions are pure',
    });
  if (patterns.length === 0) return [];
  return [
    {
      files: [`src/${folder}/**/*.ts`],
      rules: {'no-restricted-imports': ['error', {patterns}]},
    },
  ];
}

export default [
  {ignores: ['build/', 'node_modules/', 'target/']},
  ...gts,
  {files: ['**/*.js'], languageOptions: {sourceType: 'module'}},
  {
    files: ['**/*.ts'],
    rules: {
      'n/no-unpublished-import': 'off',
      'n/no-process-exit': 'off',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportDeclaration > ImportSpecifier',
          message: 'import the whole module as a namespace',
        },
      ],
    },
  },
  {
    files: ['src/**/*.ts', 'bench/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ImportDeclaration > ImportSpecifier',
          message: 'import the whole module as a namespace',
        },
        {
          selector: `Literal[value=/${WIRE_NAMES.replaceAll('/', '\\/')}/]`,
          message: "the platform's names stay in platform/",
        },
      ],
    },
  },
  {
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          patterns: [
            {
              regex: 'src/(decisions|kernel)/',
              allowTypeImports: true,
              message: 'platform/ translates and decides nothing',
            },
          ],
        },
      ],
    },
  },
  {
    files: ['src/decisions/**/*.ts'],
    rules: {
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'performance',
        'Date',
        'process',
        'console',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Math', property: 'random'},
      ],
    },
  },
  ...ALL.flatMap(getRestrictions),
];
