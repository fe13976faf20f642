import {presetNameSchema} from '@carobseam/core.types';
import {
  policyResourceSchema,
  routesResourceSchema,
  serviceResourceSchema,
} from '@carobseam/config.types';
import {z} from 'zod';

/** `mesh.yaml`: the choice of the preset. */
export const meshDeclarationSchema = z.strictObject({
  activePreset: presetNameSchema,
});

/** One file below `services/`, `policies/` or `routes/`. */
export const resourceDeclarationSchema = z.discriminatedUnion('kind', [
  serviceResourceSchema,
  policyResourceSchema,
  routesResourceSchema,
]);

/** One file below `presets/`: resources that replace the shared ones. */
export const presetDeclarationSchema = z.strictObject({
  name: presetNameSchema,
  overrides: z.array(resourceDeclarationSchema).default([]),
});

/** Contents of mesh.yaml. */
export type MeshDeclaration = z.output<typeof meshDeclarationSchema>;
/** A preset as declared, with defaults filled in. */
export type PresetDeclaration = z.output<typeof presetDeclarationSchema>;
