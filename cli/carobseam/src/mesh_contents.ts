import {CarobseamError} from '@carobseam/core.errors';
import type {Digest, ResourceId} from '@carobseam/core.types';
import {decodePack, encodeManifest, digestOf} from '@carobseam/config.codec';
import type {Declarations} from '@carobseam/config.declarations';
import {
  packKey,
  resourceIdOf,
  type Manifest,
  type Resource,
} from '@carobseam/config.types';
import {
  validateVersion,
  type ResourcesByDigest,
} from '@carobseam/config.validation';
import {existsSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {loadValidDeclarations} from './check_command.js';
import type {CliOutput} from './cli_output.js';
import {readManifestOf} from './published_manifest.js';

/** The shared resources, or those that one preset replaces, by id. */
export type ResourcesById = ReadonlyMap<ResourceId, Resource>;

/** What declarations or a rendered version say. */
export interface MeshContents {
  /** Name for messages: a version or the declarations. */
  label: string;
  activePreset: string;
  shared: ResourcesById;
  /** For each preset, the resources that replace the shared ones. */
  presets: ReadonlyMap<string, ResourcesById>;
}

/**
 * Reads a directory of declarations or a rendered one.
 *
 * @throws CarobseamError when it is neither, or not valid.
 */
export function loadContents(
  dir: string,
  keyPrefix: string,
  output: CliOutput,
): MeshContents {
  if (existsSync(path.join(dir, 'mesh.yaml'))) {
    return fromDeclarations(loadValidDeclarations(dir, output));
  }
  const manifest = readManifestOf(dir, keyPrefix);
  if (manifest) {
    return fromRendered(dir, manifest, keyPrefix);
  }
  throw new CarobseamError({
    code: 'ARGUMENT_INVALID',
    message: `${dir} holds neither declarations nor a rendered version`,
    hint: 'pass a directory with mesh.yaml or one that carobseam render wrote',
  });
}

function fromDeclarations(declarations: Declarations): MeshContents {
  const {mesh, resources, presets} = declarations;
  return {
    label: 'declarations',
    activePreset: mesh.activePreset,
    shared: byId(resources),
    presets: new Map(
      presets.map(({name, overrides}) => [name, byId(overrides)]),
    ),
  };
}

function fromRendered(
  dir: string,
  manifest: Manifest,
  keyPrefix: string,
): MeshContents {
  const resources = readResources(dir, manifest, keyPrefix);
  const resolve = (digests: Manifest['resources']) =>
    byId(Object.values(digests).map(digest => resources.get(digest)!));
  return {
    label: `version ${manifest.version}`,
    activePreset: manifest.activePreset,
    shared: resolve(manifest.resources),
    presets: new Map(
      Object.entries(manifest.presets).map(([name, digests]) => [
        name,
        resolve(digests),
      ]),
    ),
  };
}

function readResources(
  dir: string,
  manifest: Manifest,
  keyPrefix: string,
): ResourcesByDigest {
  const blobs = new Map(
    manifest.packs.flatMap(({digest}) => [
      ...readPack(path.join(dir, packKey(keyPrefix, digest))),
    ]),
  );
  const manifestDigest = digestOf(encodeManifest(manifest));
  const result = validateVersion({
    contents: {manifest, manifestDigest, blobs},
    allPresets: true,
  });
  if (result.valid) {
    return result.resources;
  }
  const [problem] = result.problems;
  throw new CarobseamError({
    code: 'VERSION_INVALID',
    message: `${dir}: ${problem!.message}`,
    hint: problem!.hint,
  });
}

function readPack(file: string): Map<Digest, Uint8Array> {
  try {
    return decodePack(readFileSync(file));
  } catch (error) {
    throw new CarobseamError({
      code: 'VERSION_INVALID',
      message: `pack ${file} is missing or damaged`,
      hint: 'render the version again, or restore the file',
      cause: error,
    });
  }
}

function byId(resources: readonly Resource[]): ResourcesById {
  return new Map(resources.map(resource => [resourceIdOf(resource), resource]));
}
