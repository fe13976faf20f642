/**
 * Writes each package's tsconfig.json, that of its tests, and the root one,
 * from the workspace dependencies in package.json. Tests are projects of their
 * own, because they may use packages that depend on the tested one. With
 * --check it only reports differences.
 */
import fs from 'node:fs';
import path from 'node:path';

const rootDir = path.resolve(import.meta.dirname, '..');
const checkOnly = process.argv.includes('--check');

function readJson(file) {
  return JSON.parse(fs.readFileSync(file, 'utf8'));
}

function listPackageDirs() {
  const {workspaces} = readJson(path.join(rootDir, 'package.json'));
  const domains = workspaces.map(pattern => pattern.replace('/*', ''));
  return domains.flatMap(domain =>
    fs
      .readdirSync(path.join(rootDir, domain))
      .map(name => `${domain}/${name}`)
      .filter(dir => fs.existsSync(path.join(rootDir, dir, 'package.json')))
      .sort(),
  );
}

function referencesOf(fromDir, names, dirByName) {
  return [...names]
    .filter(name => dirByName.has(name))
    .sort()
    .map(name => ({path: path.posix.relative(fromDir, dirByName.get(name))}));
}

function packageConfig(dir, dirByName) {
  const {dependencies = {}} = readJson(path.join(rootDir, dir, 'package.json'));
  return {
    extends: '../../tsconfig.base.json',
    compilerOptions: {rootDir: '.', outDir: 'lib'},
    include: ['src'],
    references: referencesOf(dir, Object.keys(dependencies), dirByName),
  };
}

function testConfig(dir, dirByName) {
  const manifest = readJson(path.join(rootDir, dir, 'package.json'));
  const names = new Set([
    manifest.name,
    ...Object.keys(manifest.dependencies ?? {}),
    ...Object.keys(manifest.devDependencies ?? {}),
  ]);
  return {
    extends: '../../../tsconfig.base.json',
    compilerOptions: {rootDir: '.', outDir: '../lib/test'},
    include: ['.'],
    references: referencesOf(`${dir}/test`, names, dirByName),
  };
}

function sync(file, content) {
  const text = `${JSON.stringify(content, null, 2)}\n`;
  const current = fs.existsSync(file) ? fs.readFileSync(file, 'utf8') : '';
  if (current === text) {
    return true;
  }
  if (!checkOnly) {
    fs.writeFileSync(file, text);
    return true;
  }
  console.error(
    `${path.relative(rootDir, file)} is out of date; run npm run references`,
  );
  return false;
}

const dirs = listPackageDirs();
const dirByName = new Map(
  dirs.map(dir => [
    readJson(path.join(rootDir, dir, 'package.json')).name,
    dir,
  ]),
);
const testDirs = dirs.filter(dir =>
  fs.existsSync(path.join(rootDir, dir, 'test')),
);
const results = [
  ...dirs.map(dir =>
    sync(
      path.join(rootDir, dir, 'tsconfig.json'),
      packageConfig(dir, dirByName),
    ),
  ),
  ...testDirs.map(dir =>
    sync(
      path.join(rootDir, dir, 'test/tsconfig.json'),
      testConfig(dir, dirByName),
    ),
  ),
  sync(path.join(rootDir, 'tsconfig.json'), {
    files: [],
    references: [...dirs, ...testDirs.map(dir => `${dir}/test`)].map(dir => ({
      path: dir,
    })),
  }),
];
process.exitCode = results.every(Boolean) ? 0 : 1;
