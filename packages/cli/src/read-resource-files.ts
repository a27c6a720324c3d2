import {readFile} from 'node:fs/promises';
import {parseResources, type Resource} from '@marjoramcove/configuration';
import {ValidationError} from '@marjoramcove/errors';
import type {CommandContext} from './command-context.ts';

const readFileOrInput = async (
	context: CommandContext,
	file: string,
): Promise<string> => {
	if (file === '-') {
		return context.readInput();
	}

	try {
		return await readFile(file, 'utf8');
	} catch (error) {
		throw new ValidationError(
			`The file ${file} cannot be read: ${(error as Error).message}.`,
			'Pass the path of a YAML file with resources, or - for standard input.',
		);
	}
};

/**
 * Reads the resources in YAML files; `-` is standard input.
 *
 * @throws ValidationError that names the file.
 */
export const readResourceFiles = async (
	context: CommandContext,
	files: string[],
): Promise<Resource[]> => {
	const resources: Resource[] = [];
	for (const file of files) {
		const text = await readFileOrInput(context, file);
		try {
			resources.push(...parseResources(text));
		} catch (error) {
			if (error instanceof ValidationError) {
				throw new ValidationError(
					`${file}: ${error.message}`,
					error.hint,
					error.data,
				);
			}

			throw error;
		}
	}

	if (resources.length === 0) {
		throw new ValidationError(
			`No resource was found in ${files.join(', ')}.`,
			'Each YAML document needs kind, name, labels and spec.',
		);
	}

	return resources;
};
