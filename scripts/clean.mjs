/** Removes the compiled output of every package. */
import fs from 'node:fs';
import path from 'node:path';

const rootDir = path.resolve(import.meta.dirname, '..');
const {references} = JSON.parse(
  fs.readFileSync(path.join(rootDir, 'tsconfig.json'), 'utf8'),
);
for (const {path: dir} of references) {
  const packageDir = path.join(rootDir, dir);
  fs.rmSync(path.join(packageDir, 'lib'), {recursive: true, force: true});
}
