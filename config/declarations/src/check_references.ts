import {resourceIdOf, type Resource, type Route} from '@carobseam/config.types';
import type {DeclarationFile, DeclarationProblem} from './declaration_file.js';
import type {MeshDeclaration, PresetDeclaration} from './declaration_schema.js';

/** Options of `checkReferences`. */
export interface CheckReferencesOptions {
  mesh: DeclarationFile<MeshDeclaration>;
  resources: ReadonlyArray<DeclarationFile<Resource>>;
  presets: ReadonlyArray<DeclarationFile<PresetDeclaration>>;
}

type KeyPath = readonly PropertyKey[];

interface Place {
  file: DeclarationFile<unknown>;
  keyPath: KeyPath;
}

interface PlacedRoutes {
  routes: readonly Route[];
  place: Place;
}

const DIR_OF_KIND = {
  service: 'services',
  policy: 'policies',
  routes: 'routes',
} as const;

/**
 * Checks what one declaration says about another. A file that does not fit its
 * schema still counts as declared under its name, so that one mistake is
 * reported once.
 */
export function checkReferences(
  options: CheckReferencesOptions,
): DeclarationProblem[] {
  const checker = new ReferenceChecker(options);
  return checker.check();
}

class ReferenceChecker {
  readonly #options: CheckReferencesOptions;
  readonly #problems: DeclarationProblem[] = [];
  readonly #ids = new Map<string, string>();
  readonly #presetFiles = new Map<string, string>();
  /** Directories with a file whose name could not be read. */
  readonly #incompleteDirs = new Set<string>();

  constructor(options: CheckReferencesOptions) {
    this.#options = options;
  }

  check(): DeclarationProblem[] {
    this.#options.resources.forEach(file => this.#addResource(file));
    this.#options.presets.forEach(file => this.#addPreset(file));
    this.#checkActivePreset();
    this.#checkShared();
    this.#options.presets.forEach(file => this.#checkPreset(file));
    return this.#problems;
  }

  #addResource(file: DeclarationFile<Resource>): void {
    const dir = dirOf(file);
    const name = nameIn(file.raw);
    if (name === undefined) {
      this.#incompleteDirs.add(dir);
      return;
    }
    const place = {file, keyPath: ['kind']};
    if (file.value && DIR_OF_KIND[file.value.kind] !== dir) {
      const wanted = DIR_OF_KIND[file.value.kind];
      this.#report(place, `a ${file.value.kind} in ${dir}/`, {
        hint: `move the file to ${wanted}/ or correct its kind`,
      });
    }
    const kind = file.value?.kind ?? kindOfDir(dir);
    const id = `${kind}/${name}`;
    const other = this.#ids.get(id);
    if (other !== undefined) {
      this.#report(
        {file, keyPath: ['name']},
        `${id} is already declared in ${other}`,
        {hint: 'give each resource its own name'},
      );
    }
    this.#ids.set(id, file.path);
  }

  #addPreset(file: DeclarationFile<PresetDeclaration>): void {
    const name = nameIn(file.raw);
    if (name === undefined) {
      this.#incompleteDirs.add('presets');
      return;
    }
    const other = this.#presetFiles.get(name);
    if (other !== undefined) {
      this.#report(
        {file, keyPath: ['name']},
        `preset ${name} is already declared in ${other}`,
        {hint: 'give each preset its own name'},
      );
    }
    this.#presetFiles.set(name, file.path);
  }

  #checkActivePreset(): void {
    const {mesh} = this.#options;
    const active = mesh.value?.activePreset;
    if (
      active === undefined ||
      this.#presetFiles.has(active) ||
      this.#incompleteDirs.has('presets')
    ) {
      return;
    }
    const names = [...this.#presetFiles.keys()].join(', ') || 'none';
    this.#report(
      {file: mesh, keyPath: ['activePreset']},
      `active preset ${active} is not declared`,
      {
        hint: `choose a declared preset (${names}) or add presets/${active}.yaml`,
      },
    );
  }

  #checkShared(): void {
    const groups = this.#options.resources.flatMap(file =>
      file.value?.kind === 'routes'
        ? [{routes: file.value.routes, place: {file, keyPath: ['routes']}}]
        : [],
    );
    groups.forEach(group => this.#checkTargets(group));
    this.#checkDuplicates(groups);
  }

  #checkPreset(file: DeclarationFile<PresetDeclaration>): void {
    const overridden = new Set<string>();
    const overrides = file.value?.overrides ?? [];
    overrides.forEach((override, index) => {
      const id = resourceIdOf(override);
      const keyPath = ['overrides', index];
      const place = {file, keyPath: [...keyPath, 'name']};
      if (overridden.has(id)) {
        this.#report(place, `${id} is overridden twice`, {
          hint: 'keep one override of it',
        });
      }
      overridden.add(id);
      if (!this.#isDeclared(override.kind, override.name)) {
        this.#report(place, `${id} is overridden but not declared`, {
          hint: `declare it in ${DIR_OF_KIND[override.kind]}/ or correct the name`,
        });
      }
      if (override.kind === 'routes') {
        const routesPlace = {file, keyPath: [...keyPath, 'routes']};
        this.#checkTargets({routes: override.routes, place: routesPlace});
      }
    });
    if (overrides.some(({kind}) => kind === 'routes')) {
      this.#checkDuplicates(this.#routesOfPreset(file, overridden), file.path);
    }
  }

  #routesOfPreset(
    file: DeclarationFile<PresetDeclaration>,
    overridden: ReadonlySet<string>,
  ): PlacedRoutes[] {
    const shared = this.#options.resources.flatMap(({value, ...rest}) =>
      value?.kind === 'routes' && !overridden.has(resourceIdOf(value))
        ? [{routes: value.routes, place: {file: rest, keyPath: ['routes']}}]
        : [],
    );
    const own = file.value!.overrides.flatMap((override, index) => {
      const keyPath = ['overrides', index, 'routes'];
      return override.kind === 'routes'
        ? [{routes: override.routes, place: {file, keyPath}}]
        : [];
    });
    return [...shared, ...own];
  }

  #checkTargets({routes, place}: PlacedRoutes): void {
    routes.forEach((route, index) => {
      for (const kind of ['service', 'policy'] as const) {
        if (this.#isDeclared(kind, route[kind])) {
          continue;
        }
        const keyPath = [...place.keyPath, index, kind];
        this.#report(
          {file: place.file, keyPath},
          `route ${route.name} names ${kind} ${route[kind]}, which is not declared`,
          {hint: `declare it in ${DIR_OF_KIND[kind]}/ or correct the name`},
        );
      }
    });
  }

  /** @param onlyFile reports only duplicates that this file introduces. */
  #checkDuplicates(groups: readonly PlacedRoutes[], onlyFile?: string): void {
    const names = new Map<string, string>();
    const matches = new Map<string, string>();
    for (const {routes, place} of groups) {
      routes.forEach((route, index) => {
        const routePath = [...place.keyPath, index];
        const where = `${place.file.path}:${place.file.lineOf(routePath)}`;
        const match = `${route.method} ${route.path}`;
        const report = (key: string, message: string, hint: string) => {
          const {file} = place;
          if (onlyFile === undefined || file.path === onlyFile) {
            this.#report({file, keyPath: [...routePath, key]}, message, {hint});
          }
        };
        if (names.has(route.name)) {
          const first = names.get(route.name);
          report(
            'name',
            `route ${route.name} is already declared at ${first}`,
            'give each route its own name',
          );
        }
        if (matches.has(match)) {
          report(
            'path',
            `route ${route.name} matches ${match} like the one at ${matches.get(match)}`,
            'remove one of the routes or change its match',
          );
        }
        names.set(route.name, where);
        matches.set(match, where);
      });
    }
  }

  #isDeclared(kind: Resource['kind'], name: string): boolean {
    const dir = DIR_OF_KIND[kind];
    return this.#ids.has(`${kind}/${name}`) || this.#incompleteDirs.has(dir);
  }

  #report(place: Place, message: string, {hint}: {hint: string}): void {
    const {file, keyPath} = place;
    const line = file.lineOf(keyPath);
    this.#problems.push({file: file.path, line, message, hint});
  }
}

function dirOf({path: file}: {path: string}): string {
  return file.split('/', 1)[0]!;
}

function kindOfDir(dir: string): string {
  const entry = Object.entries(DIR_OF_KIND).find(([, name]) => name === dir);
  return entry![0];
}

function nameIn(raw: unknown): string | undefined {
  const {name} = (raw ?? {}) as {name?: unknown};
  return typeof name === 'string' ? name : undefined;
}
