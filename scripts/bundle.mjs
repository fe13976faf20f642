/** Bundles the relay into target/, so that its start loads one file. */
import {build} from 'esbuild';
import path from 'node:path';

const rootDir = path.resolve(import.meta.dirname, '..');

await build({
  entryPoints: [path.join(rootDir, 'daemon/relay/lib/src/bin.js')],
  outfile: path.join(rootDir, 'target/carobseam-relay.mjs'),
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minify: true,
  legalComments: 'none',
  // Bundled CommonJS libraries require node's modules by name.
  banner: {
    js: "import {createRequire} from 'node:module';const require = createRequire(import.meta.url);",
  },
});
