import {expect} from 'chai';
import {
  meshDeclarationSchema,
  presetDeclarationSchema,
} from '@carobseam/config.declarations';
import {
  policyResourceSchema,
  routeSchema,
  routesResourceSchema,
  serviceResourceSchema,
} from '@carobseam/config.types';
import {listSchemaKeys, readDocsTables} from '@carobseam/testing.fixtures';
import type {z} from 'zod';

const SCHEMAS: ReadonlyArray<[heading: string, schema: z.ZodType]> = [
  ['mesh.yaml', meshDeclarationSchema],
  ['Service', serviceResourceSchema],
  ['Policy', policyResourceSchema],
  ['Routes', routesResourceSchema.omit({routes: true})],
  ['One route', routeSchema],
  ['Preset', presetDeclarationSchema.omit({overrides: true})],
];

describe('docs/configuration.md', () => {
  const tables = readDocsTables('configuration.md');
  for (const [heading, schema] of SCHEMAS) {
    it(`guards against wrong or missing keys below ${heading}`, () => {
      const rows = tables.get(heading) ?? new Map<string, string[]>();
      const documented = [...rows.values()].map(
        cells => `${cells[0]}: ${cells[2]}`,
      );
      const expected = listSchemaKeys(schema).map(
        key => `${key.path}: ${key.default}`,
      );
      expect(documented).to.include.members(expected);
    });
  }
});
