export * from './declaration_file.js';
export * from './declaration_schema.js';
export * from './load_declarations.js';
export * from './list_files_to_publish.js';
export * from './render_version.js';
