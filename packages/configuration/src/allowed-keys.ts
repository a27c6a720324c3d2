import * as z from 'zod';
import {resourceSchema} from './schemas.ts';

/** Unwraps a schema and selects the option of a discriminated union that applies to the value. */
const resolveSchema = (schema: unknown, value: unknown): unknown => {
	if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault) {
		return resolveSchema(schema.unwrap(), value);
	}

	if (schema instanceof z.ZodPipe) {
		return resolveSchema(schema.in, value);
	}

	if (schema instanceof z.ZodDiscriminatedUnion) {
		const {discriminator} = schema.def;
		const tag = (value as Record<string, unknown> | undefined)?.[discriminator];
		return schema.options.find(
			(option) =>
				option instanceof z.ZodObject &&
				(option.shape[discriminator] as z.ZodType).safeParse(tag).success,
		);
	}

	return schema;
};

/**
 * Lists the keys that the schema allows at a path of a document.
 *
 * @example
 * ```ts
 * listAllowedKeys({kind: 'Selector'}, []); // ['kind', 'name', 'labels', 'spec']
 * ```
 */
export const listAllowedKeys = (
	document: unknown,
	path: readonly PropertyKey[],
): string[] => {
	let value = document;
	let schema = resolveSchema(resourceSchema, value);
	for (const part of path) {
		value = (value as Record<PropertyKey, unknown> | undefined)?.[part];
		const nested: unknown =
			schema instanceof z.ZodObject
				? schema.shape[part as string]
				: schema instanceof z.ZodRecord
					? schema.valueType
					: undefined;
		schema = resolveSchema(nested, value);
	}

	return schema instanceof z.ZodObject ? Object.keys(schema.shape) : [];
};
