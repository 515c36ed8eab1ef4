// Usage: node deploy/bundle.js ENTRY_POINT OUT_FILE
import * as process from 'node:process';
import * as esbuild from 'esbuild';

/** What CommonJS packages call to get Node.js's own modules. */
const BANNER =
  "import {createRequire} from 'node:module'; const require = createRequire(import.meta.url);";

const [entryPoint, outfile] = process.argv.slice(2);

await esbuild.build({
  entryPoints: [entryPoint],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  banner: {js: BANNER},
  logLevel: 'warning',
});
