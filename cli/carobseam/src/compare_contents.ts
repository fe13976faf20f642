import type {Resource} from '@carobseam/config.types';
import type {MeshContents, ResourcesById} from './mesh_contents.js';

/** A field whose value changes; a side that lacks it is undefined. */
export interface FieldChange {
  field: string;
  before?: unknown;
  after?: unknown;
}

/** A change of one declared thing. */
export interface ContentsChange {
  change: 'added' | 'removed' | 'changed';
  kind: 'activePreset' | 'preset' | 'service' | 'policy' | 'route';
  name: string;
  /** Preset whose override changes; absent for the shared resources. */
  preset?: string;
  fields: FieldChange[];
}

interface Item {
  kind: ContentsChange['kind'];
  name: string;
  fields: Readonly<Record<string, unknown>>;
}

type Items = ReadonlyMap<string, Item>;

const NO_RESOURCES: ResourcesById = new Map();

/** What changes from one configuration to another, in a stable order. */
export function compareContents(
  before: MeshContents,
  after: MeshContents,
): ContentsChange[] {
  const names = [...before.presets.keys(), ...after.presets.keys()];
  const overrides = [...new Set(names)]
    .sort()
    .flatMap(preset =>
      compareItems(
        itemsOf(before.presets.get(preset) ?? NO_RESOURCES),
        itemsOf(after.presets.get(preset) ?? NO_RESOURCES),
        preset,
      ),
    );
  return [
    ...compareItems(presetItems(before), presetItems(after)),
    ...compareItems(itemsOf(before.shared), itemsOf(after.shared)),
    ...overrides,
  ];
}

function presetItems(contents: MeshContents): Items {
  const active: Item = {
    kind: 'activePreset',
    name: 'mesh',
    fields: {activePreset: contents.activePreset},
  };
  const presets = [...contents.presets.keys()].map((name): Item => ({
    kind: 'preset',
    name,
    fields: {},
  }));
  return keyed([active, ...presets]);
}

function itemsOf(resources: ResourcesById): Items {
  return keyed([...resources.values()].flatMap(resourceItems));
}

/** Routes are compared one by one, wherever they are grouped. */
function resourceItems(resource: Resource): Item[] {
  if (resource.kind !== 'routes') {
    const {kind, name, ...fields} = resource;
    return [{kind, name, fields}];
  }
  return resource.routes.map(({name, ...fields}) => ({
    kind: 'route',
    name,
    fields: {group: resource.name, ...fields},
  }));
}

function keyed(items: readonly Item[]): Items {
  return new Map(items.map(item => [`${item.kind}/${item.name}`, item]));
}

function compareItems(
  before: Items,
  after: Items,
  preset?: string,
): ContentsChange[] {
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  return keys.flatMap(key => {
    const change = compareItem(before.get(key), after.get(key));
    return change ? [{...change, ...(preset && {preset})}] : [];
  });
}

function compareItem(before?: Item, after?: Item): ContentsChange | undefined {
  const {kind, name} = (after ?? before)!;
  const fields = compareFields(before?.fields ?? {}, after?.fields ?? {});
  if (!before) {
    return {change: 'added', kind, name, fields};
  }
  if (!after) {
    return {change: 'removed', kind, name, fields};
  }
  return fields.length > 0
    ? {change: 'changed', kind, name, fields}
    : undefined;
}

function compareFields(
  before: Item['fields'],
  after: Item['fields'],
): FieldChange[] {
  const fields = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return fields
    .filter(
      field => JSON.stringify(before[field]) !== JSON.stringify(after[field]),
    )
    .map(field => ({field, before: before[field], after: after[field]}));
}
