// Usage: node deploy/bundle.js ENTRY_POINT OUT_FILE
import * as path from 'node:path';
import * as process from 'node:process';
import * as esbuild from 'esbuild';

/** Bundles the used parts of a package in place of its index. */
const usedParts = {
  name: 'used-parts',
  setup(build) {
    build.onResolve({filter: /^undici$/}, () => ({
      path: path.join(import.meta.dirname, 'undici.js'),
    }));
  },
};

const [entryPoint, outfile] = process.argv.slice(2);

await esbuild.build({
  entryPoints: [entryPoint],
  outfile,
  bundle: true,
  platform: 'node',
  target: 'node20',
  // V8 caches the code of scripts, not of modules.
  format: 'cjs',
  plugins: [usedParts],
  logLevel: 'warning',
  // An import that a replaced package does not export must fail the build, not the program.
  logOverride: {'import-is-undefined': 'error'},
});
