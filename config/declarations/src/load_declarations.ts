import type {Resource} from '@carobseam/config.types';
import {checkReferences} from './check_references.js';
import {
  readDeclarationFile,
  type DeclarationProblem,
} from './declaration_file.js';
import {
  meshDeclarationSchema,
  presetDeclarationSchema,
  resourceDeclarationSchema,
  type MeshDeclaration,
  type PresetDeclaration,
} from './declaration_schema.js';
import {listDeclarationFiles, MESH_FILE} from './list_declaration_files.js';

/** The declarations of one directory. */
export interface Declarations {
  mesh: MeshDeclaration;
  resources: Resource[];
  presets: PresetDeclaration[];
}

/** Result of `loadDeclarations`. */
export interface LoadedDeclarations {
  /** Absent when a file has a problem. */
  declarations?: Declarations;
  /** Every problem of all files, by file and line. */
  problems: DeclarationProblem[];
}

/**
 * Reads `mesh.yaml`, `services/`, `policies/`, `routes/` and `presets/` below
 * a directory, checks each file and what they say about each other, and
 * reports every problem at once.
 *
 * @throws CarobseamError `DECLARATION_INVALID` when it is no directory of
 * declarations.
 */
export function loadDeclarations(dir: string): LoadedDeclarations {
  const {files, problems: unknownFiles} = listDeclarationFiles(dir);
  const mesh = readDeclarationFile({
    dir,
    file: MESH_FILE,
    schema: meshDeclarationSchema,
  });
  const resources = [...files.services, ...files.policies, ...files.routes].map(
    file => readDeclarationFile({dir, file, schema: resourceDeclarationSchema}),
  );
  const presets = files.presets.map(file =>
    readDeclarationFile({dir, file, schema: presetDeclarationSchema}),
  );
  const problems = [
    ...unknownFiles,
    ...[mesh, ...resources, ...presets].flatMap(file => file.problems),
    ...checkReferences({mesh, resources, presets}),
  ].sort(comparePlaces);
  if (problems.length > 0) {
    return {problems};
  }
  const declarations = {
    mesh: mesh.value!,
    resources: resources.map(({value}) => value!),
    presets: presets.map(({value}) => value!),
  };
  return {declarations, problems};
}

function comparePlaces(a: DeclarationProblem, b: DeclarationProblem): number {
  if (a.file !== b.file) {
    return a.file < b.file ? -1 : 1;
  }
  return a.line - b.line;
}
